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

// The control instances' HTTP addresses from --control or --config. Throws usage_error if neither
// is given and settings_error if the settings file is faulty.
std::vector<std::string> controlAddresses();
// The file named by --config. Throws usage_error if there is none.
const std::string &requiredConfig();
std::chrono::milliseconds timeoutFlag();
// True for --output=json. Throws usage_error for an unknown form.
bool wantsJson();

} // namespace buckthorngrade
