#include "Authentication.h"
#include <openssl/crypto.h>

using namespace bluebellkeel;

static std::string bearerToken(const http_request &Request) {
  static const std::string Scheme = "Bearer ";
  std::string Value = Request.headers().get("Authorization");
  if (Value.compare(0, Scheme.size(), Scheme) != 0)
    return "";
  return Value.substr(Scheme.size());
}

std::optional<account_id>
bluebellkeel::authenticatedAccount(const frontend_context &Context,
                                   const http_request &Request) {
  std::string Token = bearerToken(Request);
  if (Token.empty())
    return std::nullopt;
  auto Settings = Context.Settings.routing();
  const account_settings *Account = Settings->accountByApiKey(Token);
  if (!Account)
    return std::nullopt;
  return Account->id();
}

std::optional<team_id> bluebellkeel::teamOf(const frontend_context &Context,
                                            const http_request &Request) {
  std::string Token = bearerToken(Request);
  for (const auto &Team : Context.Startup.Teams) {
    if (Team.secret().size() != Token.size())
      continue;
    if (CRYPTO_memcmp(Team.secret().data(), Token.data(), Token.size()) == 0)
      return Team.team();
  }
  return std::nullopt;
}
