#ifndef BLUEBELLKEEL_STARTUP_SETTINGSFILE_H
#define BLUEBELLKEEL_STARTUP_SETTINGSFILE_H

#include <fstream>
#include <optional>
#include <ostream>
#include <sstream>
#include <string>

namespace bluebellkeel {

/// Reads the settings file at \p Path and prints its errors to \p ErrorStream,
/// one per line. Empty if there are errors.
///
/// \param Read parses the text into settings or a list of errors.
template <typename settings_t, typename read_t>
std::optional<settings_t> readSettingsFile(const std::string &Path, read_t Read,
                                           std::ostream &ErrorStream) {
  std::ifstream File(Path);
  if (!File) {
    ErrorStream << Path << ": cannot be read\n";
    return std::nullopt;
  }
  std::stringstream Text;
  Text << File.rdbuf();
  auto Settings = Read(Text.str());
  if (Settings)
    return *Settings;
  for (const auto &Error : Settings.error())
    ErrorStream << Path << ": " << Error.message() << "\n";
  return std::nullopt;
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_SETTINGSFILE_H
