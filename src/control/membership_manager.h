#pragma once

#include "agreement/replica.h"

#include <future>

namespace buckthorngrade {

// Lets operators read and change the members of the control group. Thread-safe.
class membership_manager
{
public:
    virtual ~membership_manager() = default;
    virtual replica::membership_view membership() const = 0;
    virtual std::future<membership_result> addMember(replica_id id, bool staysLearner) = 0;
    virtual std::future<membership_result> removeMember(replica_id id) = 0;
    virtual std::future<membership_result> replaceMember(replica_id oldId, replica_id newId) = 0;
};

class replica_membership_manager final : public membership_manager
{
public:
    // `log` must outlive this.
    explicit replica_membership_manager(replica &log)
        : m_replica(log)
    { }

    replica::membership_view membership() const override { return m_replica.membership(); }
    std::future<membership_result> addMember(replica_id id, bool staysLearner) override
    {
        return m_replica.addMember(id, staysLearner);
    }
    std::future<membership_result> removeMember(replica_id id) override
    {
        return m_replica.removeMember(id);
    }
    std::future<membership_result> replaceMember(replica_id oldId, replica_id newId) override
    {
        return m_replica.replaceMember(oldId, newId);
    }

private:
    replica &m_replica;
};

} // namespace buckthorngrade
