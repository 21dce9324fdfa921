#pragma once

#include "cli/http_call.h"

#include <Poco/JSON/Object.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace buckthorngrade {

// What identifies an edit and its author.
struct edit_headers
{
    std::string requestId;
    std::string operatorName;
    std::string reason;
};

// The edit's headers from --operator, --reason and --request_id; a new request id if none is given.
// Prints the id on standard error, because the operator needs it to send the edit again. Throws
// usage_error.
edit_headers editHeadersFromFlags();

// Sends requests to the control instances: tries the next one when one can't be reached, follows
// 421 to the leader, and tries again while there is no leader or the outcome is unknown. Edits
// carry a request id, so sending one again never applies it twice.
class admin_client
{
public:
    // Gives up after `timeout` in total.
    admin_client(std::vector<std::string> addresses, std::chrono::milliseconds timeout);

    // Throws unreachable_error, with what to do next, if no instance gives a final answer. The
    // answer can have any status except 421, 503 and 504.
    http_reply get(const std::string &path);
    http_reply edit(const std::string &method, const std::string &path, const edit_headers &headers,
                    const std::string &body);

private:
    http_reply call(const std::string &method, const std::string &path,
                    const std::map<std::string, std::string> &headers, const std::string &body);

    std::vector<std::string> m_addresses;
    std::chrono::milliseconds m_timeout;
};

// The status of the control group as each of its instances sees it.
struct control_view
{
    struct member
    {
        std::string address;
        Poco::JSON::Object::Ptr status; // null if it did not answer
        std::string failure;
    };
    std::vector<member> members;

    // Status of the connected leader; null if there is none.
    Poco::JSON::Object::Ptr leader() const;
};

// Asks every control instance for its status.
control_view readControlView(const std::vector<std::string> &addresses,
                             std::chrono::milliseconds timeout);

// The JSON object in `reply`. Throws unreachable_error if there is none.
Poco::JSON::Object::Ptr parseReply(const http_reply &reply);

} // namespace buckthorngrade
