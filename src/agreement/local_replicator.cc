#include "agreement/local_replicator.h"

namespace buckthorngrade {

namespace {

template <typename T>
std::future<T> readyFuture(T value)
{
    std::promise<T> promise;
    promise.set_value(std::move(value));
    return promise.get_future();
}

} // namespace

local_replicator::local_replicator(state_machine &machine)
    : m_machine(machine)
{ }

std::future<submit_result> local_replicator::submit(std::string command, std::chrono::milliseconds)
{
    const std::lock_guard lock(m_mutex);
    const log_index index = ++m_index;
    return readyFuture(
        submit_result{submit_result::status::applied, index, m_machine.apply(index, command), 1});
}

std::future<bool> local_replicator::confirmRead(std::chrono::milliseconds)
{
    return readyFuture(true);
}

role_view local_replicator::view() const
{
    const std::lock_guard lock(m_mutex);
    return {1, 1, 1, m_index, m_index, true, true, true};
}

} // namespace buckthorngrade
