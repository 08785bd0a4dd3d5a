#include "bluebellkeel/Codec/JsonText.h"
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

using namespace bluebellkeel;

using nlohmann::json;

static constexpr std::size_t MaxDepth = MaxJsonDepth;

namespace {
/// Parser callback that detects excessive nesting and duplicate keys.
class json_bounds_checker {
public:
  bool operator()(int Depth, json::parse_event_t Event, json &Parsed) {
    if (Depth > MaxJsonDepth)
      Fault = "nested too deeply";
    if (Event == json::parse_event_t::object_start)
      Keys.emplace_back();
    if (Event == json::parse_event_t::object_end)
      Keys.pop_back();
    if (Event == json::parse_event_t::key &&
        !Keys.back().insert(Parsed.get<std::string>()).second)
      Fault = "key \"" + Parsed.get<std::string>() + "\" stands twice";
    return true;
  }

  const std::string &fault() const { return Fault; }

private:
  std::vector<std::set<std::string>> Keys;
  std::string Fault;
};

/// SAX handler that checks the nesting depth of CBOR before a value is built.
class cbor_depth_checker : public nlohmann::json_sax<json> {
public:
  bool null() override { return true; }
  bool boolean(bool /*Value*/) override { return true; }
  bool number_integer(number_integer_t /*Value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*Value*/) override { return true; }
  bool number_float(number_float_t /*Value*/,
                    const string_t & /*Text*/) override {
    return true;
  }
  bool string(string_t & /*Value*/) override { return true; }
  bool binary(binary_t & /*Value*/) override { return true; }
  bool start_object(std::size_t /*Size*/) override { return enter(); }
  bool key(string_t & /*Value*/) override { return true; }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t /*Size*/) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t /*Position*/, const std::string & /*Token*/,
                   const nlohmann::detail::exception & /*Fault*/) override {
    return false;
  }

private:
  bool enter() { return ++Depth <= MaxDepth; }
  bool leave() {
    --Depth;
    return true;
  }

  std::size_t Depth = 0;
};
} // namespace

tl::expected<json, codec_error> bluebellkeel::parseJson(std::string_view Text,
                                                        bool Comments) {
  // Each open bracket adds one level. Text that nests too deeply is rejected
  // before it reaches the parser. With comments, which may contain brackets,
  // only the parser callback checks the depth.
  std::size_t Depth = 0;
  std::size_t Deepest = 0;
  bool InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (InString && Text[I] == '\\')
      ++I;
    else if (Text[I] == '"')
      InString = !InString;
    else if (!InString && (Text[I] == '{' || Text[I] == '['))
      Deepest = std::max(Deepest, ++Depth);
    else if (!InString && (Text[I] == '}' || Text[I] == ']') && Depth > 0)
      --Depth;
  }
  if (!Comments && Deepest > MaxDepth)
    return tl::unexpected(codec_error("nested too deeply"));
  json_bounds_checker BoundsChecker;
  try {
    json Value = json::parse(Text.begin(), Text.end(), std::ref(BoundsChecker),
                             /*allow_exceptions=*/true, Comments);
    if (!BoundsChecker.fault().empty())
      return tl::unexpected(codec_error(BoundsChecker.fault()));
    return Value;
  } catch (const json::exception &Fault) {
    return tl::unexpected(codec_error(Fault.what()));
  }
}

tl::expected<json, codec_error>
bluebellkeel::parseCbor(std::string_view Bytes) {
  cbor_depth_checker DepthChecker;
  if (!json::sax_parse(Bytes.begin(), Bytes.end(), &DepthChecker,
                       json::input_format_t::cbor))
    return tl::unexpected(codec_error("not CBOR, or nested too deeply"));
  try {
    return json::from_cbor(Bytes.begin(), Bytes.end());
  } catch (const json::exception &Fault) {
    return tl::unexpected(codec_error(Fault.what()));
  }
}
