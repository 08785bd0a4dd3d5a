#include "RequestIdentity.h"
#include "absl/strings/ascii.h"
#include <algorithm>

using namespace bluebellkeel;

static constexpr std::size_t MaxKeyBytes = 128;

static bool isKeyChar(char C) {
  return absl::ascii_isalnum(static_cast<unsigned char>(C)) || C == '.' ||
         C == '_' || C == ':' || C == '-';
}

std::optional<request_id> bluebellkeel::requestIdOf(const http_request &Request,
                                                    random_source &Random) {
  std::string Key = Request.headers().get("Idempotency-Key");
  if (Key.empty())
    return request_id(Random.hexToken());
  if (Key.size() > MaxKeyBytes ||
      !std::all_of(Key.begin(), Key.end(), isKeyChar))
    return std::nullopt;
  return request_id(Key);
}
