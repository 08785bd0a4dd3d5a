#ifndef BLUEBELLKEEL_SETTINGS_SETTINGSERROR_H
#define BLUEBELLKEEL_SETTINGS_SETTINGSERROR_H

#include "bluebellkeel/Core/Comparable.h"
#include <string>
#include <tuple>
#include <utility>

namespace bluebellkeel {

/// A validation error in one setting: its path, the expected value and the
/// value found.
class settings_error : public comparable<settings_error> {
public:
  settings_error(std::string Path, std::string Expected, std::string Found)
      : Path(std::move(Path)), Expected(std::move(Expected)),
        Found(std::move(Found)) {}

  const std::string &path() const { return Path; }
  const std::string &expected() const { return Expected; }
  const std::string &found() const { return Found; }
  std::string message() const {
    return Path + ": expected " + Expected + ", found " + Found;
  }
  auto key() const { return std::tie(Path, Expected, Found); }

private:
  std::string Path;
  std::string Expected;
  std::string Found;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_SETTINGSERROR_H
