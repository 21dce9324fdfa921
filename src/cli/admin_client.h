#pragma once

#include "cli/http_call.h"

#include <Poco/JSON/Object.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace buckthorngrade {

// Request id, author and reason of an edit, sent as HTTP headers.
struct edit_headers
{
    std::string requestId;
    std::string operatorName;
    std::string reason;
};

// Returns the edit's headers from --operator, --reason and --request_id, with a new request id if
// none is given. Prints the id on standard error, because the operator needs it to retry the edit.
// Throws usage_error.
edit_headers editHeadersFromFlags();

// Sends requests to the control instances. Tries the next instance if one can't be reached, follows
// status 421 to the leader, and retries while there is no leader or the outcome is unknown. Edits
// carry a request id, so that a retry never applies an edit twice.
class admin_client
{
public:
    // Each get() and edit() stops retrying after `timeout`.
    admin_client(std::vector<std::string> addresses, std::chrono::milliseconds timeout);

    // Throws unreachable_error, with advice for the operator, if no instance returns a final
    // response. A final response has any status except 421, 503 and 504.
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
struct control_group_status
{
    struct member
    {
        std::string address;
        Poco::JSON::Object::Ptr status; // null if it did not respond
        std::string failure;
    };
    std::vector<member> members;

    // Returns the status of the connected leader, or null if there is none.
    Poco::JSON::Object::Ptr leader() const;
};

// Requests the status of every control instance in parallel. If none of them is a connected leader,
// also asks the members that their responses list.
control_group_status readControlGroupStatus(const std::vector<std::string> &addresses,
                                            std::chrono::milliseconds timeout);

// Returns the JSON object in the body. Throws unreachable_error if the body is not one.
Poco::JSON::Object::Ptr parseReply(const http_reply &reply);

} // namespace buckthorngrade
