#ifndef BLUEBELLKEEL_CODEC_FIELDREADER_H
#define BLUEBELLKEEL_CODEC_FIELDREADER_H

#include "bluebellkeel/Codec/CodecError.h"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace bluebellkeel {

/// Reads the fields of one JSON object and keeps the first error, so that the
/// caller checks for errors once, after the last field. After an error, the
/// functions return an empty or zero value. The object must outlive the reader.
class field_reader {
public:
  explicit field_reader(const nlohmann::json &Json);

  std::string text(const char *Name);
  std::uint64_t number(const char *Name);
  /// Returns a whole number from 0 to \p Max.
  std::uint64_t numberUpTo(const char *Name, std::uint64_t Max);
  double real(const char *Name);
  /// Returns a number from 0 to \p Max.
  double realUpTo(const char *Name, double Max);
  bool flag(const char *Name);
  /// Returns the array, or an empty array on error.
  const nlohmann::json &array(const char *Name);
  /// Returns the field, or null if it is missing.
  const nlohmann::json &optional(const char *Name) const;

  void fail(std::string Message);
  bool failed() const { return !Fault.empty(); }
  codec_error error() const { return codec_error(Fault); }

private:
  const nlohmann::json *find(const char *Name, const char *Expected,
                             bool (nlohmann::json::*IsKind)() const noexcept);

  const nlohmann::json &Json;
  std::string Fault;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CODEC_FIELDREADER_H
