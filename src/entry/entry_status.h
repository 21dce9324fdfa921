#pragma once

#include "base/clock.h"
#include "entry/claim_client.h"
#include "entry/config_store.h"
#include "entry/decision_log.h"
#include "entry/freshness_client.h"
#include "entry/instance_directory.h"
#include "entry/leader_hint.h"
#include "entry/report_client.h"
#include "entry/service_balancer.h"
#include "entry/slot_table.h"
#include "model/settings.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace buckthorngrade {

// Describes the state of this instance to operators and to the platform.
class entry_status
{
public:
    struct sources
    {
        const settings &config;
        const config_store &store;
        const instance_directory &directory;
        const freshness_client &freshnessClient;
        const report_client &reports;
        const leader_hint &leader;
        const slot_table &slotTable;
        const claim_client &claims;
        const decision_log &decisions;
        const std::vector<std::unique_ptr<service_balancer>> &balancers;
        const clock_source &clock;
    };
    // All references must outlive this.
    entry_status(const sources &from, std::uint64_t incarnation)
        : m_sources(from)
        , m_incarnation(incarnation)
    { }

    std::string toJson() const;
    // Returns why the instance is not ready; empty if it is ready.
    std::string notReadyReason() const;

private:
    const sources m_sources;
    const std::uint64_t m_incarnation;
};

} // namespace buckthorngrade
