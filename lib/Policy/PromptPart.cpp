#include "bluebellkeel/Policy/PromptPart.h"
#include "absl/strings/str_cat.h"
#include "bluebellkeel/Core/StableHash.h"

using namespace bluebellkeel;

static std::string boundedId(std::string Id) {
  if (Id.size() <= prompt_part::MaxIdBytes)
    return Id;
  return absl::StrCat("digest-", absl::Hex(stableHash(Id), absl::kZeroPad16));
}

prompt_part::prompt_part(std::string Id, std::uint64_t Tokens)
    : Id(boundedId(std::move(Id))), Tokens(Tokens) {}
