#ifndef BLUEBELLKEEL_STARTUP_SETTINGSFILE_H
#define BLUEBELLKEEL_STARTUP_SETTINGSFILE_H

#include <fstream>
#include <optional>
#include <ostream>
#include <sstream>
#include <string>

namespace bluebellkeel {

/// Reads a settings file for a program's main; faults are printed to \p Faults,
/// one a line.
///
/// \param Read turns the text into settings or a list of faults.
template <typename settings_t, typename read_t>
std::optional<settings_t> readSettingsFile(const std::string &Path, read_t Read,
                                           std::ostream &Faults) {
  std::ifstream File(Path);
  if (!File) {
    Faults << Path << ": cannot be read\n";
    return std::nullopt;
  }
  std::stringstream Text;
  Text << File.rdbuf();
  auto Settings = Read(Text.str());
  if (Settings)
    return *Settings;
  for (const auto &Error : Settings.error())
    Faults << Path << ": " << Error.message() << "\n";
  return std::nullopt;
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_SETTINGSFILE_H
