#include "bluebellkeel/Backend/LoadReader.h"
#include "bluebellkeel/Codec.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

std::optional<load_report>
load_reader::read(const upstream_record &Upstream) const {
  auto Response =
      Client.send(Upstream.address(), http_request("GET", "/load", {}, ""));
  if (!Response)
    return std::nullopt;
  auto Json = parseJson(Response->body());
  if (!Json)
    return std::nullopt;
  auto Report = loadReportFrom(*Json);
  if (!Report)
    return std::nullopt;
  return *Report;
}
