#include "ObjectReader.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include <algorithm>

using namespace bluebellkeel;

using nlohmann::json;

object_reader::object_reader(const json &Json, std::string Path,
                             error_list &Errors)
    : Json(Json), Path(std::move(Path)), Errors(&Errors) {
  if (Json.is_object())
    return;
  Errors.emplace_back(this->Path.empty() ? "/" : this->Path, "an object",
                      Json.dump());
  this->Json = json::object();
}

std::string object_reader::pathOf(const std::string &Name) const {
  return Path + "/" + Name;
}

const json *object_reader::find(const std::string &Name) {
  RequestedFields.insert(Name);
  auto Found = Json.find(Name);
  return Found == Json.end() ? nullptr : &*Found;
}

void object_reader::fail(const std::string &Name, const std::string &Expected,
                         const json *Found) {
  Errors->emplace_back(pathOf(Name), Expected,
                       Found ? Found->dump() : "nothing");
}

std::string object_reader::text(const std::string &Name, std::size_t MinBytes) {
  const json *Found = find(Name);
  if (Found && Found->is_string() &&
      Found->get_ref<const std::string &>().size() >= MinBytes)
    return Found->get<std::string>();
  fail(Name, absl::StrCat("a text of at least ", MinBytes, " characters"),
       Found);
  return "";
}

network_address object_reader::address(const std::string &Name) {
  return optionalAddress(Name).value_or(network_address());
}

std::optional<network_address>
object_reader::optionalAddress(const std::string &Name) {
  const json *Found = find(Name);
  if (Found && Found->is_string()) {
    auto Address = network_address::parse(Found->get<std::string>());
    if (Address)
      return Address;
  }
  fail(Name, "an address as IP-number:port", Found);
  return std::nullopt;
}

std::uint64_t object_reader::numberOr(const std::string &Name,
                                      std::uint64_t Default, std::uint64_t Low,
                                      std::uint64_t High) {
  const json *Found = find(Name);
  if (!Found)
    return Default;
  if (Found->is_number_unsigned()) {
    auto Value = Found->get<std::uint64_t>();
    if (Value >= Low && Value <= High)
      return Value;
  }
  fail(Name, absl::StrCat("a whole number from ", Low, " to ", High), Found);
  return Default;
}

double object_reader::real(const std::string &Name, double Low, double High) {
  const json *Found = find(Name);
  if (Found && Found->is_number()) {
    auto Value = Found->get<double>();
    if (Value >= Low && Value <= High)
      return Value;
  }
  fail(Name, absl::StrCat("a number from ", Low, " to ", High), Found);
  return Low;
}

std::vector<network_address> object_reader::addresses(const std::string &Name) {
  std::vector<network_address> Addresses;
  const json *Found = find(Name);
  if (!Found || !Found->is_array()) {
    fail(Name, "an array of addresses", Found);
    return Addresses;
  }
  for (const auto &Item : *Found) {
    auto Address = Item.is_string()
                       ? network_address::parse(Item.get<std::string>())
                       : std::nullopt;
    if (Address)
      Addresses.push_back(*Address);
    else
      fail(Name, "an address as IP-number:port", &Item);
  }
  return Addresses;
}

std::string object_reader::choiceOr(const std::string &Name,
                                    const std::string &Default,
                                    const std::vector<std::string> &Choices) {
  const json *Found = find(Name);
  if (!Found)
    return Default;
  if (Found->is_string()) {
    auto Value = Found->get<std::string>();
    if (std::count(Choices.begin(), Choices.end(), Value) > 0)
      return Value;
  }
  fail(Name, absl::StrCat("one of ", absl::StrJoin(Choices, ", ")), Found);
  return Default;
}

object_reader object_reader::object(const std::string &Name, bool Required) {
  const json *Found = find(Name);
  if (!Found && Required)
    fail(Name, "an object", nullptr);
  return object_reader(Found ? *Found : json::object(), pathOf(Name), *Errors);
}

std::vector<object_reader> object_reader::objects(const std::string &Name) {
  std::vector<object_reader> Readers;
  const json *Found = find(Name);
  if (!Found || !Found->is_array()) {
    fail(Name, "an array of objects", Found);
    return Readers;
  }
  for (std::size_t I = 0; I < Found->size(); ++I)
    Readers.emplace_back((*Found)[I], absl::StrCat(pathOf(Name), "/", I),
                         *Errors);
  return Readers;
}

void object_reader::finish() const {
  for (const auto &[Name, Value] : Json.items()) {
    if (RequestedFields.count(Name) == 0)
      Errors->emplace_back(pathOf(Name), "a known field", "an unknown one");
  }
}
