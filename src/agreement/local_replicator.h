#pragma once

#include "agreement/replicator.h"

#include <mutex>

namespace buckthorngrade {

// Replicator of a single instance without storage, which applies each command immediately. It is
// the reference implementation for tests of the replicated log and a fake in unit tests.
class local_replicator final : public replicator
{
public:
    // `machine` must outlive this.
    explicit local_replicator(state_machine &machine);

    std::future<submit_result> submit(std::string command,
                                      std::chrono::milliseconds timeout) override;
    std::future<bool> confirmRead(std::chrono::milliseconds timeout) override;
    role_view view() const override;

private:
    mutable std::mutex m_mutex;
    state_machine &m_machine;
    log_index m_index = 0;
};

} // namespace buckthorngrade
