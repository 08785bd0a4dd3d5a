#ifndef BLUEBELLKEEL_LIB_STARTUP_OBJECTREADER_H
#define BLUEBELLKEEL_LIB_STARTUP_OBJECTREADER_H

#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Settings/SettingsError.h"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bluebellkeel {

/// Reads the fields of one object of a settings file. Each error is added to a
/// common list; a field that was never requested is an error too. After an
/// error, a function returns an empty or default value.
class object_reader {
public:
  using error_list = std::vector<settings_error>;

  object_reader(const nlohmann::json &Json, std::string Path,
                error_list &Errors);

  std::string text(const std::string &Name, std::size_t MinBytes);
  network_address address(const std::string &Name);
  std::optional<network_address> optionalAddress(const std::string &Name);
  /// Returns a whole number from \p Low to \p High, or \p Default if the field
  /// is missing.
  std::uint64_t numberOr(const std::string &Name, std::uint64_t Default,
                         std::uint64_t Low, std::uint64_t High);
  /// Returns a number from \p Low to \p High.
  double real(const std::string &Name, double Low, double High);
  /// Returns the addresses in the array \p Name.
  std::vector<network_address> addresses(const std::string &Name);
  std::string choiceOr(const std::string &Name, const std::string &Default,
                       const std::vector<std::string> &Choices);
  /// Returns a reader of the object \p Name. A missing object reads as an empty
  /// one, and is an error if \p Required.
  object_reader object(const std::string &Name, bool Required);
  /// Returns a reader for each object in the array \p Name.
  std::vector<object_reader> objects(const std::string &Name);

  /// True if the object has the field \p Name.
  bool has(const std::string &Name) const { return Json.contains(Name); }
  /// Accepts the field \p Name, which earlier releases read, without a value.
  void ignore(const std::string &Name) { RequestedFields.insert(Name); }
  /// Adds an error for each field that was not requested.
  void finish() const;

private:
  const nlohmann::json *find(const std::string &Name);
  std::string pathOf(const std::string &Name) const;
  void fail(const std::string &Name, const std::string &Expected,
            const nlohmann::json *Found);

  nlohmann::json Json;
  std::string Path;
  error_list *Errors;
  std::set<std::string> RequestedFields;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_STARTUP_OBJECTREADER_H
