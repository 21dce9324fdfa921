#pragma once

#include <chrono>

namespace buckthorngrade {

// Blocks the signals that stop a process; call before any thread is started.
void blockStopSignals();
// Waits for SIGTERM or SIGINT and returns its number.
int waitForStopSignal();
// Makes waitForStopSignal() return, as if an operator had stopped the process. Thread-safe.
void requestStop();
// Waits at most `limit`; true if such a signal came.
bool waitForStopSignal(std::chrono::milliseconds limit);

} // namespace buckthorngrade
