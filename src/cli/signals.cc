#include "cli/signals.h"

#include <algorithm>
#include <csignal>

#include <unistd.h>

namespace buckthorngrade {

namespace {

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

sigset_t allSignals()
{
    sigset_t set = stopSignals();
    sigaddset(&set, SIGHUP);
    return set;
}

timespec toTimespec(std::chrono::milliseconds time)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
    return {seconds.count(), std::chrono::nanoseconds(time - seconds).count()};
}

} // namespace

void blockSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    const sigset_t set = allSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

int waitForSignal(std::chrono::milliseconds limit)
{
    const sigset_t set = allSignals();
    const timespec time = toTimespec(limit);
    return std::max(0, sigtimedwait(&set, nullptr, &time));
}

void blockStopSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    const sigset_t set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

int waitForStopSignal()
{
    const sigset_t set = stopSignals();
    int number = 0;
    sigwait(&set, &number);
    return number;
}

void requestStop()
{
    ::kill(::getpid(), SIGTERM);
}

bool waitForStopSignal(std::chrono::milliseconds limit)
{
    const sigset_t set = stopSignals();
    const timespec time = toTimespec(limit);
    return sigtimedwait(&set, nullptr, &time) > 0;
}

} // namespace buckthorngrade
