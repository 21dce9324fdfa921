#include "proxy_fixture.h"
#include "testing/http_connection.h"
#include "testing/malformed_heads.h"
#include "testing/wait.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

class line_counter final : public event_log
{
public:
    std::uint32_t lines = 0;

protected:
    bool isEnabled(log_level) const override { return true; }
    void writeLine(std::string_view) override { ++lines; }
};

class line_recorder final : public event_log
{
public:
    bool contains(std::string_view text) const
    {
        const std::lock_guard lock(m_mutex);
        return std::ranges::any_of(
            m_lines, [text](const std::string &line) { return line.find(text) != line.npos; });
    }

protected:
    bool isEnabled(log_level) const override { return true; }
    void writeLine(std::string_view line) override
    {
        const std::lock_guard lock(m_mutex);
        m_lines.emplace_back(line);
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_lines;
};

std::string uploadHead(bool isChunked, std::size_t size)
{
    return fmt::format(
        "POST /once/x HTTP/1.1\r\nHost: test\r\n{}: up\r\n{}\r\n\r\n", headerNames.requestId,
        isChunked ? "Transfer-Encoding: chunked" : fmt::format("Content-Length: {}", size));
}

} // namespace

class reverse_proxy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reverse_proxy_test);
    CPPUNIT_TEST(forwardsRequestsUnchanged);
    CPPUNIT_TEST(nonIdempotentRequestsAreNotRetried);
    CPPUNIT_TEST(idempotentRequestsAreRetried);
    CPPUNIT_TEST(refusedRequestsAreRetriedElsewhere);
    CPPUNIT_TEST(refusalByAllUpstreamsGives503);
    CPPUNIT_TEST(refusalWithoutNotRunFieldIsNotForwarded);
    CPPUNIT_TEST(responsesToOtherRequestsAreSkipped);
    CPPUNIT_TEST(extraBytesNeverReachAnotherCaller);
    CPPUNIT_TEST(endlessResponseIsAborted);
    CPPUNIT_TEST(endlessResponsesDoNotExhaustMemory);
    CPPUNIT_TEST(duplicateRefusalIsSkipped);
    CPPUNIT_TEST(refusalWithoutIdOnReusedConnectionGives502);
    CPPUNIT_TEST(endlessResponseToAnotherRequestFailsAtOnce);
    CPPUNIT_TEST(responsesWithoutIdAreNotUsed);
    CPPUNIT_TEST(successWithoutSealIsNotForwarded);
    CPPUNIT_TEST(requestWithoutIdGetsNewConnection);
    CPPUNIT_TEST(responseWithoutLengthNeedsCleanClose);
    CPPUNIT_TEST(responseResetDuringUploadIsNotForwarded);
    CPPUNIT_TEST(responseCutWithinHeadIsNotForwarded);
    CPPUNIT_TEST(responseWithMalformedHeadIsNotForwarded);
    CPPUNIT_TEST(timeoutAfterSendingGives504);
    CPPUNIT_TEST(callerDisconnectCancelsIdempotentRequest);
    CPPUNIT_TEST(replacedUpstreamGetsNoMoreRequests);
    CPPUNIT_TEST(replacedUpstreamsDoNotUseUpAttempts);
    CPPUNIT_TEST(drainingAndEvacuatedUpstreamsGetNoRequests);
    CPPUNIT_TEST(coldUpstreamStaysWithinItsRate);
    CPPUNIT_TEST(routeStaysInItsHomeRegions);
    CPPUNIT_TEST(longBodyIsStreamed);
    CPPUNIT_TEST(truncatedUploadIsNotRun);
    CPPUNIT_TEST(earlyResponseToUploadClosesConnection);
    CPPUNIT_TEST(slowServiceKeepsAffinity);
    CPPUNIT_TEST(unlistedUpstreamMayStillRespond);
    CPPUNIT_TEST(malformedRequestLogIsRateLimited);
    CPPUNIT_TEST(unknownRouteAndMissingDocument);
    CPPUNIT_TEST(failedAttemptsAreLoggedWithTheirUpstream);
    CPPUNIT_TEST(stopRejectsRequestsThatWouldBeCutOff);
    CPPUNIT_TEST_SUITE_END();

public:
    void forwardsRequestsUnchanged()
    {
        proxy_fixture system({answerOk});
        const http_response response = system.send("/once/a%20b/?q=1&r", "id-7", "body");
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), response.body);
        const std::string request = system.upstreams[0]->requests().at(0);
        CPPUNIT_ASSERT(request.starts_with("POST /once/a%20b/?q=1&r HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(request.ends_with("\r\n\r\nbody"));
        CPPUNIT_ASSERT_EQUAL(std::string("id-7"), scriptedField(request, headerNames.requestId));
        CPPUNIT_ASSERT_EQUAL(std::string("u0"),
                             scriptedField(request, headerNames.expectedUpstream));
        const int left = std::stoi(scriptedField(request, headerNames.deadlineMs));
        CPPUNIT_ASSERT(left > 0 && left <= 20'000);
    }

    // Guards against duplicate execution: a request that is not idempotent must not be retried
    // after any failure that occurs once its first byte was sent.
    void nonIdempotentRequestsAreNotRetried()
    {
        const std::vector<scripted_server::script> failures = {
            [](const std::string &) {
                return scripted_answer{"", false, true};
            },
            [](const std::string &) {
                return scripted_answer{"", true, false};
            },
            [](const std::string &) {
                return scripted_answer{"nonsense\r\n\r\n", true, false};
            },
            [](const std::string &request) {
                return scripted_answer{"HTTP/1.1 200 OK\r\n" + echo(request)
                                           + "Content-Length: 10\r\n\r\nshort",
                                       true, false};
            },
            [](const std::string &request) {
                return scripted_answer{scriptedResponse(500, echo(request), "e")};
            },
        };
        for (const scripted_server::script &failure : failures) {
            proxy_fixture system({failure, failure, failure});
            const http_response response = system.send("/once/x", "id", "claim");
            CPPUNIT_ASSERT(response.status == 502 || response.status == 500);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, system.arrivals());
        }
    }

    void idempotentRequestsAreRetried()
    {
        std::atomic<int> count = 0;
        const scripted_server::script failsOnce = [&](const std::string &request) {
            return ++count == 1 ? scripted_answer{"", false, true} : answerOk(request);
        };
        proxy_fixture system({failsOnce, failsOnce});
        CPPUNIT_ASSERT_EQUAL(200, system.send("/safe/x").status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, system.arrivals());
    }

    void refusedRequestsAreRetriedElsewhere()
    {
        std::atomic<int> count = 0;
        const scripted_server::script refusesOnce = [&](const std::string &request) {
            return ++count == 1 ? refuse(request) : answerOk(request);
        };
        proxy_fixture system({refusesOnce, refusesOnce});
        CPPUNIT_ASSERT_EQUAL(200, system.send("/once/x", "id", "claim").status);
    }

    void refusalByAllUpstreamsGives503()
    {
        proxy_fixture system({refuse, refuse});
        const http_response response = system.send("/once/x", "id", "claim");
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT(!response.header("retry-after").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, system.arrivals());
    }

    // Guards against forwarding a 503, 429 or 408 without the "not run" field. A caller takes such
    // a status as a guarantee that the request did not run.
    void refusalWithoutNotRunFieldIsNotForwarded()
    {
        for (const int status : {503, 429, 408}) {
            proxy_fixture system({[status](const std::string &request) {
                return scripted_answer{scriptedResponse(status, echo(request), "")};
            }});
            CPPUNIT_ASSERT_EQUAL(502, system.send("/once/x", "id", "claim").status);
        }
    }

    // Guards against taking a late response to an earlier request on the same connection for the
    // response to the current one.
    void responsesToOtherRequestsAreSkipped()
    {
        proxy_fixture system({[](const std::string &request) {
            return scripted_answer{
                scriptedResponse(200, headerNames.requestId + ": other\r\n", "wrong")
                + answerOk(request).bytes};
        }});
        const http_response response = system.send("/once/x", "id", "claim");
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), response.body);
    }

    void extraBytesNeverReachAnotherCaller()
    {
        proxy_fixture system({[](const std::string &request) {
            const std::string answer = answerOk(request).bytes;
            return scripted_answer{answer + answer};
        }});
        for (int i = 0; i < 5; ++i) {
            const http_response response = system.send("/once/x", fmt::format("id-{}", i), "c");
            CPPUNIT_ASSERT_EQUAL(200, response.status);
            CPPUNIT_ASSERT_EQUAL(std::string("done"), response.body);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, system.upstreams[0]->connections());
    }

    // Guards against unbounded memory and time for an upstream that never stops sending.
    void endlessResponseIsAborted()
    {
        const auto repeat = [](const std::string &text, std::size_t bytes) {
            std::string result;
            while (result.size() < bytes)
                result += text;
            return result;
        };
        constexpr std::size_t floodBytes = 24 << 20;
        const std::string other = scriptedResponse(200, headerNames.requestId + ": other\r\n", "x");
        const std::string head = "HTTP/1.1 200 OK\r\n" + headerNames.requestId + ": id\r\n";
        for (const std::string &bytes :
             {std::string(floodBytes, 'x'), head + repeat("A: b\r\n", floodBytes),
              repeat("HTTP/1.1 100 Continue\r\n\r\n", floodBytes), repeat(other, floodBytes),
              head + "\r\n" + std::string(floodBytes, 'x'),
              head + "Transfer-Encoding: chunked\r\n\r\n"
                  + repeat("40\r\n" + std::string(64, 'x') + "\r\n", floodBytes),
              head + "Transfer-Encoding: chunked\r\n\r\n" + std::string(floodBytes, '0'),
              head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + repeat("A: b\r\n", floodBytes)}) {
            proxy_fixture system({[&](const std::string &) { return scripted_answer{bytes}; }});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes.substr(0, 80), 502,
                                         system.send("/once/x", "id", "claim").status);
            system.send("/once/x", "id-2", "claim");
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, system.upstreams[0]->connections());
        }
    }

    // Guards against memory that grows with the number of requests that a faulty upstream answers
    // without end. Each response alone stays below the limit of one response, and the upstream
    // keeps the connection open until the caller gives up.
    void endlessResponsesDoNotExhaustMemory()
    {
        constexpr std::size_t bodyBytes = 6 << 20;
        constexpr int requests = 12;
        const std::string body(bodyBytes, 'x');
        const std::string framing = "Transfer-Encoding: chunked\r\n\r\n";
        std::atomic<int> faulty = 0;
        proxy_fixture system({[&](const std::string &request) {
            if (scriptedField(request, headerNames.requestId).starts_with("good"))
                return answerOk(request);
            ++faulty;
            return scripted_answer{"HTTP/1.1 200 OK\r\n" + echo(request) + framing
                                   + fmt::format("{:x}\r\n", bodyBytes) + body};
        }});
        std::vector<std::thread> callers;
        callers.reserve(requests);
        for (int i = 0; i < requests; ++i)
            callers.emplace_back([&system, i] {
                system.send("/once/x", fmt::format("bad-{}", i), "claim", {}, "3000");
            });
        std::uint64_t most = 0;
        waitUntil("all faulty responses are under way", [&] {
            most = std::max(most, system.receivedBytes());
            return faulty == requests;
        });
        CPPUNIT_ASSERT_EQUAL(200, system.send("/once/x", "good", "claim").status);
        std::atomic<bool> isOver = false;
        std::thread watch([&] {
            while (!isOver)
                most = std::max(most, system.receivedBytes());
        });
        std::ranges::for_each(callers, &std::thread::join);
        isOver = true;
        watch.join();
        CPPUNIT_ASSERT(most > bodyBytes);
        CPPUNIT_ASSERT(most <= reverse_proxy::maxReceivedBytes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, system.receivedBytes());
    }

    // Guards against taking a duplicate of an earlier refusal on a reused connection for the
    // response to a request that runs.
    void duplicateRefusalIsSkipped()
    {
        std::string refusal; // used on the loop's thread
        proxy_fixture system({[&](const std::string &request) {
            if (!refusal.empty())
                return scripted_answer{refusal + answerOk(request).bytes};
            refusal = refuse(request).bytes;
            return scripted_answer{refusal};
        }});
        CPPUNIT_ASSERT_EQUAL(503, system.send("/once/x", "id-1", "claim").status);
        const http_response second = system.send("/once/x", "id-2", "claim");
        CPPUNIT_ASSERT_EQUAL(200, second.status);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), second.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, system.upstreams[0]->connections());
    }

    // As above, for a refusal without a request id.
    void refusalWithoutIdOnReusedConnectionGives502()
    {
        const auto script = [](const std::string &request) {
            if (scriptedField(request, headerNames.requestId).starts_with("first"))
                return answerOk(request);
            return scripted_answer{scriptedResponse(503, headerNames.notRun + ": 1\r\n", "")};
        };
        proxy_fixture system({script, script});
        for (int i = 0; system.upstreams[0]->connections() * system.upstreams[1]->connections() == 0
             && i < 1'000;
             ++i)
            system.send("/safe/x", fmt::format("first-{}", i));
        const std::size_t before = system.arrivals();
        CPPUNIT_ASSERT_EQUAL(502, system.send("/once/x", "id-2", "claim").status);
        CPPUNIT_ASSERT_EQUAL(before + 1, system.arrivals());
    }

    // Guards against taking bytes that an upstream sends out of turn for the response to a request:
    // the caller would get another's response, or a guarantee that its request did not run, and the
    // upstream would be taken out of use for what it did not say about itself.
    void responsesWithoutIdAreNotUsed()
    {
        const std::string seal = headerNames.seal + ": s\r\n";
        const std::vector<std::string> strayResponses = {
            scriptedResponse(200, headerNames.upstreamId + ": u0\r\n", ""),
            scriptedResponse(200, seal, "stray"),
            scriptedResponse(200, headerNames.leaving + ": 1\r\n", ""),
            scriptedResponse(200, headerNames.requestLimit + ": 0.1\r\n", ""),
            scriptedResponse(200, headerNames.load + ": 900,900,1\r\n", ""),
            scriptedResponse(204, "", ""),
            scriptedResponse(400, headerNames.notRun + ": 1\r\n", ""),
            scriptedResponse(404, "", "stray"),
            scriptedResponse(408, "", ""),
            scriptedResponse(421, headerNames.notRun + ": 1\r\n", ""),
            scriptedResponse(421, headerNames.upstreamId + ": other\r\n", ""),
            scriptedResponse(429, headerNames.notRun + ": 1\r\n", ""),
            scriptedResponse(500, seal, "stray"),
            scriptedResponse(503, "Retry-After: 100\r\n", ""),
            scriptedResponse(503, headerNames.notRun + ": 1\r\nRetry-After: 100\r\n", ""),
            "HTTP/1.1 200 OK\r\n" + seal + "\r\nstray without a length",
            "HTTP/1.1 200 OK\r\n" + seal + "Transfer-Encoding: chunked\r\n\r\n5\r\nstray\r\n",
        };
        for (const std::string &stray : strayResponses) {
            for (const bool isFollowed : {false, true}) {
                const scripted_server::script script = [&](const std::string &request) {
                    if (!scriptedField(request, headerNames.requestId).starts_with("stray"))
                        return answerOk(request);
                    return scripted_answer{stray + (isFollowed ? answerOk(request).bytes : "")};
                };
                const auto checkSound = [&](proxy_fixture &system, const std::string &id) {
                    const http_response response = system.send("/once/x", id, "claim");
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(stray, 200, response.status);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(stray, std::string("done"), response.body);
                };
                proxy_fixture system({script});
                checkSound(system, "id-1"); // leaves a connection that is reused
                const http_response response = system.send("/once/x", "stray-1", "claim");
                CPPUNIT_ASSERT_EQUAL_MESSAGE(stray, 502, response.status);
                CPPUNIT_ASSERT_MESSAGE(stray, response.body.find("stray") == std::string::npos);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(stray, std::size_t{2}, system.arrivals());
                checkSound(system, "id-2");
                CPPUNIT_ASSERT_EQUAL_MESSAGE(stray, std::size_t{2},
                                             system.upstreams[0]->connections());
                // The first response on a connection must have the id, too.
                proxy_fixture fresh({script});
                CPPUNIT_ASSERT_EQUAL_MESSAGE(stray, 502,
                                             fresh.send("/once/x", "stray-1", "claim").status);
                checkSound(fresh, "id-1");
                // A request that may run twice is sent to another upstream.
                proxy_fixture retrying({script, answerOk});
                for (int i = 0; i < 4; ++i)
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(
                        stray, 200, retrying.send("/safe/x", fmt::format("stray-{}", i)).status);
            }
        }
    }

    // Guards against a request that waits for its deadline because its response is taken for the
    // body of another one, which lasts until the connection ends.
    void endlessResponseToAnotherRequestFailsAtOnce()
    {
        const scripted_server::script script = [](const std::string &request) {
            const bool isStray = scriptedField(request, headerNames.requestId).starts_with("stray");
            const std::string other
                = fmt::format("HTTP/1.1 200 X\r\n{}: other\r\n\r\n", headerNames.requestId);
            return scripted_answer{(isStray ? other : "") + answerOk(request).bytes};
        };
        proxy_fixture system({script});
        const auto start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(502, system.send("/once/x", "stray-1", "claim").status);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < 10s); // half of the timeout
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, system.arrivals());
        CPPUNIT_ASSERT_EQUAL(200, system.send("/once/x", "id-1", "claim").status);
        proxy_fixture retrying({script, answerOk});
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT_EQUAL(200, retrying.send("/safe/x", fmt::format("stray-{}", i)).status);
    }

    // Guards against forwarding a success that no upstream of the platform has signed, such as the
    // response of another program at the upstream's address.
    void successWithoutSealIsNotForwarded()
    {
        for (const int status : {200, 201, 204, 206}) {
            const scripted_server::script script = [&](const std::string &request) {
                return scripted_answer{scriptedResponse(status, echo(request), "body")};
            };
            proxy_fixture system({script});
            const http_response response = system.send("/once/x", "id", "claim");
            CPPUNIT_ASSERT_EQUAL(502, response.status);
            CPPUNIT_ASSERT(response.body.find("body") == std::string::npos);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, system.arrivals());
            proxy_fixture retrying({script, answerOk});
            for (int i = 0; i < 4; ++i)
                CPPUNIT_ASSERT_EQUAL(200, retrying.send("/safe/x", fmt::format("id-{}", i)).status);
        }
        // Failures need no signature.
        proxy_fixture system({[](const std::string &request) {
            return scripted_answer{scriptedResponse(404, echo(request), "gone")};
        }});
        CPPUNIT_ASSERT_EQUAL(404, system.send("/once/x", "id", "claim").status);
    }

    // Without a request id, a response can't be told from one to an earlier request.
    void requestWithoutIdGetsNewConnection()
    {
        proxy_fixture system({answerOk});
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(200, system.send("/once/x", "", "claim").status);
        CPPUNIT_ASSERT_EQUAL(200, system.send("/once/x", "id", "claim").status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, system.upstreams[0]->connections());
    }

    void responseWithoutLengthNeedsCleanClose()
    {
        const auto answer = [](const std::string &request) {
            return "HTTP/1.1 200 OK\r\n" + signedEcho(request) + "Connection: close\r\n\r\nwhole";
        };
        proxy_fixture cleanClose({[&](const std::string &request) {
            return scripted_answer{answer(request), true, false};
        }});
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), cleanClose.send("/once/x", "id", "c").body);
        proxy_fixture resetBeforeEnd({[&](const std::string &request) {
            return scripted_answer{answer(request), false, true};
        }});
        CPPUNIT_ASSERT_EQUAL(502, resetBeforeEnd.send("/once/x", "id", "c").status);
    }

    // Guards against forwarding the part of a response that arrived before a reset as a complete
    // response. The kernel reports the reset to the write of the upload that comes next, and not to
    // the read behind it.
    void responseResetDuringUploadIsNotForwarded()
    {
        for (const bool resets : {true, false}) {
            proxy_fixture system({answerOk});
            http_connection caller{
                Poco::Net::StreamSocket(Poco::Net::SocketAddress(system.address()))};
            system.upstreams[0]->answerHeadsWith([&](const std::string &request) {
                // The proxy handles this part of the upload before the end of the response, because
                // it arrives first.
                caller.send(std::string(1'000, 'b'));
                return scripted_answer{"HTTP/1.1 200 OK\r\n" + echo(request) + headerNames.seal
                                           + ": s\r\nConnection: close\r\n\r\nbytes",
                                       !resets, resets};
            });
            caller.send(uploadHead(false, 5'000) + std::string(2'000, 'b'));
            Poco::Net::HTTPResponse head;
            CPPUNIT_ASSERT(caller.readHead(head));
            CPPUNIT_ASSERT_EQUAL(resets ? 502 : 200, static_cast<int>(head.getStatus()));
            std::string body;
            CPPUNIT_ASSERT(caller.readBody(head, [&](std::string_view part) { body += part; }));
            CPPUNIT_ASSERT_EQUAL(!resets, body == "bytes");
            CPPUNIT_ASSERT_EQUAL(!resets, head.has(headerNames.seal));
        }
    }

    // Guards against forwarding the part of a response head that arrived before the upstream closed
    // the connection as a complete response.
    void responseCutWithinHeadIsNotForwarded()
    {
        const std::string head
            = fmt::format("HTTP/1.1 200 OK\r\n{}: id\r\n{}: s\r\nContent-Length: 4\r\n\r\n",
                          headerNames.requestId, headerNames.seal);
        for (std::size_t length = 1; length < head.size(); ++length) {
            for (const bool resets : {false, true}) {
                proxy_fixture system({[&](const std::string &) {
                    return scripted_answer{head.substr(0, length), !resets, resets};
                }});
                const std::string where = fmt::format("cut after {} bytes", length);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(where, 502, system.send("/once/x", "id", "c").status);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::size_t{1}, system.arrivals());
            }
        }
        std::atomic<int> count = 0;
        const scripted_server::script cutsOnce = [&](const std::string &request) {
            return ++count == 1 ? scripted_answer{head.substr(0, head.size() / 2), true, false}
                                : answerOk(request);
        };
        proxy_fixture retrying({cutsOnce, cutsOnce});
        const http_response response = retrying.send("/safe/x", "id");
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), response.body);
    }

    // Guards against forwarding a response whose head is malformed, in answer to a short request
    // and in the middle of an upload, or a body that begins or ends at the wrong byte because of
    // it.
    void responseWithMalformedHeadIsNotForwarded()
    {
        const auto check = [](const std::string &what, int expected, const std::string &status,
                              const std::string &fields) {
            const bool isForwarded = expected == 200;
            const auto answer = [&](const std::string &request) {
                return scripted_answer{fmt::format("HTTP/1.1 {} X\r\n{}{}{}: s\r\n"
                                                   "Content-Length: 5\r\n\r\nbytes",
                                                   status, fields, echo(request), headerNames.seal),
                                       true, false};
            };
            proxy_fixture system({answer});
            const http_response response = system.send("/once/x", "id", "c");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, expected, response.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, isForwarded,
                                         !response.header(Poco::toLower(headerNames.seal)).empty());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, isForwarded,
                                         response.body.find("bytes") != std::string::npos);

            system.upstreams[0]->answerHeadsWith(answer);
            http_connection caller{
                Poco::Net::StreamSocket(Poco::Net::SocketAddress(system.address()))};
            caller.send(uploadHead(false, 5'000) + std::string(2'000, 'b'));
            Poco::Net::HTTPResponse head;
            CPPUNIT_ASSERT_MESSAGE(what, caller.readHead(head));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, expected, static_cast<int>(head.getStatus()));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, isForwarded, head.has(headerNames.seal));
        };
        check("well-formed head", 200, "200", "Name: v\r\n");
        for (const std::string &code : malformedStatusCodes())
            check("status " + printable(code), 502, code, "");
        for (const std::string &line : malformedFieldLines())
            check("field " + printable(line), 502, "200", line + "\r\n");
    }

    void timeoutAfterSendingGives504()
    {
        proxy_fixture system({[](const std::string &) { return scripted_answer{}; }});
        CPPUNIT_ASSERT_EQUAL(504, system.send("/short/x", "id", "claim").status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, system.arrivals());
    }

    // Guards against upstreams that go on with idempotent requests of disconnected callers, and
    // against cancelling other requests because their caller disconnected.
    void callerDisconnectCancelsIdempotentRequest()
    {
        proxy_fixture system({[](const std::string &) { return scripted_answer{}; }});
        const auto disconnectAfterSending = [&](const std::string &path) {
            http_connection connection(
                Poco::Net::StreamSocket(Poco::Net::SocketAddress(system.address())));
            const std::size_t before = system.arrivals();
            connection.send("GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n");
            waitUntil("the request arrives", [&] { return system.arrivals() > before; });
            connection.reset();
        };
        disconnectAfterSending("/once/x");
        disconnectAfterSending("/safe/x");
        waitUntil("the work is ended", [&] { return system.upstreams[0]->abandoned() == 1; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, system.arrivals());
    }

    // Guards against sending more requests to an address that another upstream has taken over.
    void replacedUpstreamGetsNoMoreRequests()
    {
        proxy_fixture system(
            {[](const std::string &request) {
                 return scripted_answer{scriptedResponse(
                     421, echo(request) + headerNames.upstreamId + ": other\r\n", "")};
             },
             answerOk});
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_EQUAL(200, system.send("/once/x", fmt::format("id-{}", i), "c").status);
        CPPUNIT_ASSERT(system.upstreams[0]->requests().size() <= 1);
    }

    // Guards against refusing requests while others of the service have free slots: when the
    // addresses of many upstreams are taken over at once, the attempts of a route were used up.
    void replacedUpstreamsDoNotUseUpAttempts()
    {
        const scripted_server::script misdirected = [](const std::string &request) {
            return scripted_answer{
                scriptedResponse(421, echo(request) + headerNames.upstreamId + ": other\r\n", "")};
        };
        // Each object has another order of upstreams, so some objects meet all that are replaced.
        for (int object = 0; object < 16; ++object) {
            proxy_fixture system({misdirected, misdirected, misdirected, answerOk});
            CPPUNIT_ASSERT_EQUAL(200,
                                 system.send("/once/x", "id", "c", std::to_string(object)).status);
        }
        proxy_fixture allReplaced(
            {misdirected, misdirected, misdirected, misdirected, misdirected});
        CPPUNIT_ASSERT_EQUAL(503, allReplaced.send("/once/x", "id", "c").status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, allReplaced.arrivals());
    }

    void drainingAndEvacuatedUpstreamsGetNoRequests()
    {
        proxy_fixture system({answerOk, answerOk});
        system.apply([](upstream_listing &listing) { listing.upstreams[0].isDraining = true; });
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT_EQUAL(200, system.send("/safe/x").status);
        CPPUNIT_ASSERT(system.upstreams[0]->requests().empty());
        system.thread().call([&] { system.proxy().setEvacuated({"d"}, false); });
        const http_response response = system.send("/safe/x");
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, system.arrivals());
    }

    // The cold rate of the service is 1 request per second, and the settings allow all instances
    // together 1.5 x 1 + 5.
    void coldUpstreamStaysWithinItsRate()
    {
        proxy_fixture system({answerOk});
        system.apply([](upstream_listing &listing) {
            listing.readAt = std::chrono::steady_clock::now();
            listing.upstreams[0].coldFor = 60s;
        });
        std::size_t served = 0;
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < 60; ++i)
            served += system.send("/safe/x").status == 200 ? 1 : 0;
        const auto seconds
            = std::chrono::ceil<std::chrono::seconds>(std::chrono::steady_clock::now() - start);
        CPPUNIT_ASSERT(served >= 1);
        CPPUNIT_ASSERT(served <= 6 * static_cast<std::size_t>(seconds.count()));
    }

    // Guards against requests that leave the regions in which their data may be processed.
    void routeStaysInItsHomeRegions()
    {
        proxy_fixture system({answerOk});
        CPPUNIT_ASSERT_EQUAL(503, system.send("/home/x").status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, system.arrivals());
    }

    void longBodyIsStreamed()
    {
        proxy_fixture system({answerOk});
        const std::string body(5'000, 'b');
        for (const bool isChunked : {false, true}) {
            http_connection caller{
                Poco::Net::StreamSocket(Poco::Net::SocketAddress(system.address()))};
            const std::size_t before = system.upstreams[0]->heads();
            caller.send(uploadHead(isChunked, body.size()));
            caller.send((isChunked ? fmt::format("{:x}\r\n", body.size()) : "")
                        + body.substr(0, 2'000));
            waitUntil("the upstream has the head",
                      [&] { return system.upstreams[0]->heads() == before + 1; });
            CPPUNIT_ASSERT_EQUAL(before, system.upstreams[0]->requests().size());
            caller.send(body.substr(2'000) + (isChunked ? "\r\n0\r\n\r\n" : ""));
            Poco::Net::HTTPResponse head;
            CPPUNIT_ASSERT(caller.readHead(head));
            CPPUNIT_ASSERT_EQUAL(200, static_cast<int>(head.getStatus()));
            CPPUNIT_ASSERT(system.upstreams[0]->requests().back().ends_with("\r\n\r\n" + body));
        }
    }

    // Guards against an upstream that takes a truncated upload for a complete one.
    void truncatedUploadIsNotRun()
    {
        proxy_fixture system({answerOk});
        {
            http_connection caller{
                Poco::Net::StreamSocket(Poco::Net::SocketAddress(system.address()))};
            caller.send(uploadHead(false, 5'000) + std::string(2'000, 'b'));
            waitUntil("the upstream has the head",
                      [&] { return system.upstreams[0]->heads() == 1; });
            caller.reset();
        }
        waitUntil("the upstream's connection ends",
                  [&] { return system.upstreams[0]->brokenOff() == 1; });
        CPPUNIT_ASSERT(system.upstreams[0]->requests().empty());
    }

    // An upstream may respond before it has received the whole body. Guards against reusing the
    // connection while the upstream still expects the rest of the body.
    void earlyResponseToUploadClosesConnection()
    {
        proxy_fixture system({answerOk});
        system.upstreams[0]->answerHeadsWith(answerOk);
        http_connection caller{Poco::Net::StreamSocket(Poco::Net::SocketAddress(system.address()))};
        caller.send(uploadHead(false, 5'000) + std::string(2'000, 'b'));
        Poco::Net::HTTPResponse head;
        CPPUNIT_ASSERT(caller.readHead(head));
        CPPUNIT_ASSERT_EQUAL(200, static_cast<int>(head.getStatus()));
        waitUntil("the upstream's connection ends",
                  [&] { return system.upstreams[0]->brokenOff() == 1; });
        CPPUNIT_ASSERT_EQUAL(200, system.send("/safe/x").status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, system.upstreams[0]->connections());
    }

    // Guards against moving requests away from the upstream that has their object cached, because
    // upstreams that got no requests yet are assumed to be faster.
    void slowServiceKeepsAffinity()
    {
        const auto slow = [](const std::string &request) {
            scripted_answer result = answerOk(request);
            result.delay = 700ms; // longer than the latency target and the assumed cold start
            return result;
        };
        proxy_fixture system({slow, slow, slow});
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(200, system.send("/safe/x", "id", {}, "object").status);
        const auto isUsed = [](const auto &upstream) { return !upstream->requests().empty(); };
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, std::ranges::count_if(system.upstreams, isUsed));
    }

    // Guards against a use after free: a connection was destroyed with its unlisted upstream while
    // its response was handled. The address sanitizer reported it, and it crashed an entry
    // instance.
    void unlistedUpstreamMayStillRespond()
    {
        for (int round = 0; round < 3; ++round) {
            proxy_fixture system({[](const std::string &request) {
                scripted_answer result = answerOk(request);
                result.delay = 300ms;
                return result;
            }});
            http_connection caller{
                Poco::Net::StreamSocket(Poco::Net::SocketAddress(system.address()))};
            caller.send(fmt::format("GET /safe/x HTTP/1.1\r\nHost: test\r\n{}: id\r\n\r\n",
                                    headerNames.requestId));
            waitUntil("the upstream has the request",
                      [&] { return system.upstreams[0]->requests().size() == 1; });
            system.apply([](upstream_listing &listing) { listing.upstreams.clear(); });
            Poco::Net::HTTPResponse head;
            CPPUNIT_ASSERT(caller.readHead(head));
            CPPUNIT_ASSERT_EQUAL(200, static_cast<int>(head.getStatus()));
        }
    }

    // Guards against a flood of malformed requests that fills the log.
    void malformedRequestLogIsRateLimited()
    {
        line_counter events;
        event_loop loop;
        metric_registry metrics;
        const node_settings settings = nodeSettings();
        peer_view peers(settings.name);
        reverse_proxy proxy(loop, settings, headerNames, peers, events, metrics);
        for (int i = 0; i < 1'000; ++i)
            proxy.recordInvalidRequest("a request needs one Host field");
        CPPUNIT_ASSERT_EQUAL(request_log::linesPerSecond, events.lines);
    }

    void unknownRouteAndMissingDocument()
    {
        proxy_fixture system({answerOk});
        CPPUNIT_ASSERT_EQUAL(404, system.send("/other/x").status);
        system.thread().call([&] { system.proxy().setRouting(nullptr); });
        CPPUNIT_ASSERT_EQUAL(503, system.send("/safe/x").status);
    }

    // Guards against attempts whose reason can't be found afterwards: they were logged after the
    // upstream had been released, and so not at all.
    void failedAttemptsAreLoggedWithTheirUpstream()
    {
        line_recorder events;
        proxy_fixture system({refuse}, events);
        CPPUNIT_ASSERT_EQUAL(503, system.send("/once/x", "refused", "c").status);
        CPPUNIT_ASSERT(
            events.contains("id=refused upstream=u0 domain=d outcome=\"not run\" attempt=1"));
        proxy_fixture failing({[](const std::string &request) {
                                  return scripted_answer{scriptedResponse(500, echo(request), "e")};
                              }},
                              events);
        CPPUNIT_ASSERT_EQUAL(500, failing.send("/once/x", "failed", "c").status);
        CPPUNIT_ASSERT(events.contains("id=failed upstream=u0 domain=d outcome=failed attempt=1"));
    }

    // Guards against a stopping instance that forwards requests when there is no time for their
    // work before it ends and cuts them off.
    void stopRejectsRequestsThatWouldBeCutOff()
    {
        proxy_fixture system({[](const std::string &request) {
            scripted_answer answer = answerOk(request);
            answer.delay = 200ms;
            return answer;
        }});
        CPPUNIT_ASSERT_EQUAL(200, system.send("/once/x", "id", "c").status);
        const auto stopAfter = [&](std::chrono::milliseconds time) {
            system.thread().call(
                [&] { system.proxy().setStopTime(system.thread().loop().now() + time); });
        };
        stopAfter(100ms);
        CPPUNIT_ASSERT_EQUAL(503, system.send("/once/x", "id", "c").status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, system.arrivals());
        stopAfter(60s);
        CPPUNIT_ASSERT_EQUAL(200, system.send("/once/x", "id", "c").status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reverse_proxy_test);
