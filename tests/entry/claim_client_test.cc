#include "entry/claim_client.h"
#include "testing/wait.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <grpcpp/server_builder.h>

#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

// A control instance whose replies are scripted by the test.
class fake_control final : public wire::instance_link::Service
{
public:
    enum class scripted_reply { proceed, lose_reply, not_leader, recorded, no_reply };

    fake_control()
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &m_port);
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
    }
    ~fake_control() override { m_server->Shutdown(std::chrono::system_clock::now() + 100ms); }

    std::string address() const { return fmt::format("127.0.0.1:{}", m_port); }
    void setReplies(std::deque<scripted_reply> replies, std::uint32_t leader = 1)
    {
        const std::lock_guard lock(m_mutex);
        m_replies = std::move(replies);
        m_leader = leader;
    }
    void failFinishes(int count)
    {
        const std::lock_guard lock(m_mutex);
        m_failFinishes = count;
    }
    std::vector<wire::begin_request> begins() const
    {
        const std::lock_guard lock(m_mutex);
        return m_begins;
    }
    std::vector<wire::finish_request> finishes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_finishes;
    }

    grpc::Status BeginRequest(grpc::ServerContext *, const wire::begin_request *request,
                              wire::begin_reply *reply) override
    {
        const std::lock_guard lock(m_mutex);
        m_begins.push_back(*request);
        const scripted_reply next
            = m_replies.empty() ? scripted_reply::no_reply : m_replies.front();
        if (m_replies.size() > 1)
            m_replies.pop_front();
        reply->set_leader(m_leader);
        switch (next) {
        case scripted_reply::proceed:
            reply->set_accepted(true);
            reply->mutable_outcome()->set_status(wire::BEGIN_PROCEED);
            return grpc::Status::OK;
        case scripted_reply::recorded:
            reply->set_accepted(true);
            reply->mutable_outcome()->set_status(wire::BEGIN_RECORDED);
            reply->mutable_outcome()->mutable_response()->set_status(201);
            return grpc::Status::OK;
        case scripted_reply::not_leader:
            return grpc::Status::OK;
        case scripted_reply::lose_reply:
        case scripted_reply::no_reply:
            break;
        }
        return {grpc::StatusCode::UNAVAILABLE, "the answer was lost"};
    }
    grpc::Status FinishRequest(grpc::ServerContext *, const wire::finish_request *request,
                               wire::finish_reply *reply) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_failFinishes-- > 0)
            return {grpc::StatusCode::UNAVAILABLE, "no"};
        m_finishes.push_back(*request);
        reply->set_accepted(true);
        return grpc::Status::OK;
    }

private:
    int m_port = 0;
    std::unique_ptr<grpc::Server> m_server;
    mutable std::mutex m_mutex;
    std::deque<scripted_reply> m_replies;
    std::uint32_t m_leader = 0;
    int m_failFinishes = 0;
    std::vector<wire::begin_request> m_begins;
    std::vector<wire::finish_request> m_finishes;
};

// Advances by a second at each reading, so that begin(), limited to 3 s, ends after its first call.
class stepping_clock final : public clock_source
{
public:
    steady_time now() const override { return m_now += 1s; }
    std::chrono::system_clock::time_point wallNow() const override { return {}; }

private:
    mutable steady_time m_now = std::chrono::steady_clock::now();
};

} // namespace

class claim_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claim_client_test);
    CPPUNIT_TEST(lostReplyIsRetriedWithTheSameAttempt);
    CPPUNIT_TEST(lostReplyIsNotReportedAsUnreachable);
    CPPUNIT_TEST(unreachableControlHasRecordedNothing);
    CPPUNIT_TEST(followsALeaderChange);
    CPPUNIT_TEST(failedDeliveriesAreRetried);
    CPPUNIT_TEST(digestCoversEveryPart);
    CPPUNIT_TEST_SUITE_END();

    using scripted_reply = fake_control::scripted_reply;
    using status = claim_client::status;

    const system_clock_source m_clock;
    null_event_log m_events;
    metric_registry m_metrics;
    const json_tracer m_tracer{"test", {}};

    // A client of the given control instances, whose ids count from 1.
    struct client_set
    {
        client_set(claim_client_test &test, const std::vector<std::string> &addresses)
            : client_set(test, addresses, test.m_clock)
        { }
        client_set(claim_client_test &test, const std::vector<std::string> &addresses,
                   const clock_source &clock)
            : config(makeSettings(addresses))
            , channels(config)
            , client(config, 7, channels, leader, clock, test.m_events, test.m_metrics,
                     test.m_tracer)
            , span(test.m_tracer.startFromHeader("test", ""))
        { }
        static settings makeSettings(const std::vector<std::string> &addresses)
        {
            settings result;
            result.instance = "entry-1";
            for (const std::string &address : addresses)
                result.members.push_back(
                    {static_cast<std::uint32_t>(result.members.size() + 1), address, ""});
            return result;
        }
        status begin(std::chrono::milliseconds limit = 30s)
        {
            return client
                .begin({"claim", "key", "digest", claim_client::newAttempt()},
                       std::chrono::steady_clock::now() + limit, *span)
                .outcome;
        }
        const settings config;
        const control_channels channels;
        leader_hint leader;
        claim_client client;
        std::unique_ptr<opentracing::Span> span;
    };

public:
    // Guards against a second execution, or a refusal, if only the reply to BeginRequest is lost.
    void lostReplyIsRetriedWithTheSameAttempt()
    {
        fake_control control;
        control.setReplies({scripted_reply::lose_reply, scripted_reply::proceed});
        client_set set(*this, {control.address()});
        CPPUNIT_ASSERT(set.begin() == status::proceed);
        const auto begins = control.begins();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), begins.size());
        CPPUNIT_ASSERT(begins[0].attempt() != 0);
        CPPUNIT_ASSERT_EQUAL(begins[0].attempt(), begins[1].attempt());
        CPPUNIT_ASSERT(set.begin() == status::proceed);
        CPPUNIT_ASSERT(control.begins().back().attempt() != begins[0].attempt());
    }

    // Guards against reporting "not-run" for a key whose earlier request may have been executed.
    void lostReplyIsNotReportedAsUnreachable()
    {
        fake_control control;
        control.setReplies({scripted_reply::no_reply});
        client_set set(*this, {control.address()});
        CPPUNIT_ASSERT(set.begin(500ms) == status::lost);
        waitUntil("the attempt is withdrawn", [&] { return control.finishes().size() == 1; });
        CPPUNIT_ASSERT(control.finishes()[0].outcome() == wire::finish_request::WITHDRAWN);
        CPPUNIT_ASSERT_EQUAL(control.begins()[0].attempt(), control.finishes()[0].attempt());
    }

    void unreachableControlHasRecordedNothing()
    {
        std::string address;
        {
            const fake_control control;
            address = control.address();
        }
        client_set set(*this, {address});
        CPPUNIT_ASSERT(set.begin(500ms) == status::unreachable);
        fake_control follower;
        follower.setReplies({scripted_reply::not_leader}, 0);
        // The limit must not expire during a call, because that call may have been recorded.
        const stepping_clock clock;
        client_set other(*this, {follower.address()}, clock);
        CPPUNIT_ASSERT(other.begin() == status::unreachable);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), follower.begins().size());
    }

    void followsALeaderChange()
    {
        fake_control follower;
        fake_control leader;
        follower.setReplies({scripted_reply::not_leader}, 2);
        leader.setReplies({scripted_reply::recorded}, 2);
        client_set set(*this, {follower.address(), leader.address()});
        set.leader.observe(1);
        CPPUNIT_ASSERT(set.begin() == status::recorded);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), set.leader.leader());
    }

    // Guards against losing an outcome if control is unreachable when the request ends.
    void failedDeliveriesAreRetried()
    {
        fake_control control;
        control.failFinishes(3);
        client_set set(*this, {control.address()});
        wire::recorded_response response;
        response.set_status(200);
        response.set_body("body");
        set.client.finishRan({"claim", "key", "digest", 5}, response);
        waitUntil("the outcome arrives", [&] { return control.finishes().size() == 1; });
        const auto finish = control.finishes()[0];
        CPPUNIT_ASSERT(finish.outcome() == wire::finish_request::RAN);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), finish.response().body());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), finish.attempt());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), finish.incarnation());
        waitUntil("nothing is pending", [&] { return set.client.pending() == 0; });
    }

    void digestCoversEveryPart()
    {
        const std::set<std::string> digests = {
            claim_client::digestOf("POST", "/a", "t", "1", "x"),
            claim_client::digestOf("PATCH", "/a", "t", "1", "x"),
            claim_client::digestOf("POST", "/b", "t", "1", "x"),
            claim_client::digestOf("POST", "/a", "u", "1", "x"),
            claim_client::digestOf("POST", "/a", "t", "2", "x"),
            claim_client::digestOf("POST", "/a", "t", "1", "y"),
            claim_client::digestOf("POST", "/a\nt", "", "1", "x"),
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), digests.size());
        CPPUNIT_ASSERT_EQUAL(*digests.find(claim_client::digestOf("POST", "/a", "t", "1", "x")),
                             claim_client::digestOf("POST", "/a", "t", "1", "x"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_client_test);
