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

// Like blockStopSignals(), for a process that also takes SIGHUP.
void blockSignals();
// Waits at most `limit` for SIGTERM, SIGINT or SIGHUP; returns its number, or 0.
int waitForSignal(std::chrono::milliseconds limit);

} // namespace buckthorngrade
