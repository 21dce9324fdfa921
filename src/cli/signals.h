#pragma once

#include <chrono>

namespace buckthorngrade {

// Blocks SIGTERM and SIGINT in the calling thread and ignores SIGPIPE. Must be called before any
// thread is started, because new threads inherit the signal mask.
void blockStopSignals();
// Waits for SIGTERM or SIGINT and returns its number.
int waitForStopSignal();
// Sends SIGTERM to this process, so that waitForStopSignal() and waitForSignal() return.
// Thread-safe.
void requestStop();
// Waits at most `limit` for SIGTERM or SIGINT; returns true if one arrived.
bool waitForStopSignal(std::chrono::milliseconds limit);

// Like blockStopSignals(), and also blocks SIGHUP.
void blockSignals();
// Waits at most `limit` for SIGTERM, SIGINT or SIGHUP; returns its number, or 0.
int waitForSignal(std::chrono::milliseconds limit);

} // namespace buckthorngrade
