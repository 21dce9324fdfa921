#pragma once

#include <gflags/gflags_declare.h>

#include <chrono>
#include <string>
#include <vector>

// Flags that several commands share.
DECLARE_string(config);
DECLARE_string(control);
DECLARE_string(entry);
DECLARE_string(operator);
DECLARE_string(output);
DECLARE_string(reason);
DECLARE_string(request_id);
DECLARE_string(timeout);
DECLARE_bool(wait);

namespace buckthorngrade {

// Returns the control instances' HTTP addresses from --control or --config. Throws usage_error if
// neither is given and settings_error if the settings file is faulty.
std::vector<std::string> controlAddresses();
// Returns the value of --config. Throws usage_error if it is empty.
const std::string &requiredConfig();
std::chrono::milliseconds timeoutFlag();
// Returns true for --output=json. Throws usage_error for an unknown output format.
bool wantsJson();

} // namespace buckthorngrade
