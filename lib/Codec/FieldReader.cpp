#include "bluebellkeel/Codec/FieldReader.h"

using namespace bluebellkeel;

using nlohmann::json;

field_reader::field_reader(const json &Json) : Json(Json) {
  if (!Json.is_object())
    fail("expected an object");
}

void field_reader::fail(std::string Message) {
  if (Fault.empty())
    Fault = std::move(Message);
}

const json *field_reader::find(const char *Name, const char *Expected,
                               bool (json::*IsKind)() const noexcept) {
  if (failed())
    return nullptr;
  auto Found = Json.find(Name);
  if (Found != Json.end() && ((*Found).*IsKind)())
    return &*Found;
  fail(std::string(Name) + ": expected " + Expected +
       (Found == Json.end() ? ", found nothing"
                            : ", found " + std::string(Found->type_name())));
  return nullptr;
}

std::string field_reader::text(const char *Name) {
  const json *Found = find(Name, "a text", &json::is_string);
  return Found ? Found->get<std::string>() : std::string();
}

std::uint64_t field_reader::number(const char *Name) {
  const json *Found =
      find(Name, "a whole number of at least 0", &json::is_number_unsigned);
  return Found ? Found->get<std::uint64_t>() : 0;
}

std::uint64_t field_reader::numberUpTo(const char *Name, std::uint64_t Max) {
  std::uint64_t Value = number(Name);
  if (Value <= Max)
    return Value;
  fail(std::string(Name) + ": expected at most " + std::to_string(Max) +
       ", found " + std::to_string(Value));
  return 0;
}

double field_reader::real(const char *Name) {
  const json *Found = find(Name, "a number", &json::is_number);
  return Found ? Found->get<double>() : 0;
}

double field_reader::realUpTo(const char *Name, double Max) {
  double Value = real(Name);
  if (Value >= 0 && Value <= Max)
    return Value;
  fail(std::string(Name) + ": expected 0 to " + std::to_string(Max) +
       ", found " + std::to_string(Value));
  return 0;
}

bool field_reader::flag(const char *Name) {
  const json *Found = find(Name, "true or false", &json::is_boolean);
  return Found && Found->get<bool>();
}

const json &field_reader::array(const char *Name) {
  static const json Empty = json::array();
  const json *Found = find(Name, "an array", &json::is_array);
  return Found ? *Found : Empty;
}

const json &field_reader::optional(const char *Name) const {
  static const json Null;
  if (!Json.is_object())
    return Null;
  auto Found = Json.find(Name);
  return Found == Json.end() ? Null : *Found;
}
