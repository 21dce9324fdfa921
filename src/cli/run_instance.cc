#include "cli/admin_client.h"
#include "cli/cli_error.h"
#include "cli/command_line.h"
#include "cli/common_flags.h"
#include "cli/edit_result.h"
#include "cli/run.h"

#include <Poco/URI.h>

namespace buckthorngrade {

int runInstance(const command_arguments &arguments)
{
    if (arguments.empty() || arguments.front() != "remove")
        throw usage_error("expected: instance remove NAME");
    requireArguments(arguments, 2, "remove NAME");
    wantsJson(); // reports an invalid --output before anything is changed
    const auto addresses = controlAddresses();
    std::string encoded;
    Poco::URI::encode(arguments[1], "/?#&+=", encoded);
    const http_reply reply
        = admin_client(addresses, timeoutFlag())
              .edit("POST", "/v1/instances/" + encoded + "/remove", editHeadersFromFlags(), "");
    return finishEdit(reply, addresses);
}

} // namespace buckthorngrade
