#include "DeltaText.h"
#include "bluebellkeel/Codec/JsonText.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

std::string bluebellkeel::deltaText(const std::string &Payload) {
  static const json::json_pointer Pointer("/choices/0/delta/content");
  auto Event = parseJson(Payload);
  if (!Event || !Event->contains(Pointer) || !Event->at(Pointer).is_string())
    return "";
  return Event->at(Pointer).get<std::string>();
}
