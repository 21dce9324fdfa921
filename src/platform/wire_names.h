#pragma once

// Names and paths of the platform's protocols. They are used only in this folder.
namespace buckthorngrade::platform_wire {

// Environment variable with the path of the settings file.
inline constexpr const char *settingsVariable = "BUCKTHORNGRADE_SETTINGS";

inline constexpr const char *configPath = "/v1/config";
inline constexpr const char *evacuationsPath = "/v1/evacuations/";
inline constexpr const char *resolvePath = "/v1/resolve";
inline constexpr const char *instancesPath = "/instances";

} // namespace buckthorngrade::platform_wire
