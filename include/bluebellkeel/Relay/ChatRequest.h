#ifndef BLUEBELLKEEL_RELAY_CHATREQUEST_H
#define BLUEBELLKEEL_RELAY_CHATREQUEST_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Core/RequestId.h"
#include "bluebellkeel/Policy/Fingerprint.h"
#include "bluebellkeel/Policy/Session.h"
#include <cstdint>
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// A chat completion requested by a client account.
class chat_request : public comparable<chat_request> {
public:
  chat_request() = default;
  chat_request(request_id Id, account_id Account, std::string Model,
               std::string Body, std::uint64_t MaxTokens)
      : Id(std::move(Id)), Account(std::move(Account)), Model(std::move(Model)),
        Body(std::move(Body)), MaxTokens(MaxTokens) {}

  const request_id &id() const { return Id; }
  const account_id &account() const { return Account; }
  const std::string &model() const { return Model; }
  /// The request in the caller's protocol; parsed only by the front end.
  const std::string &body() const { return Body; }
  /// Maximum number of tokens that prompt and completion together may occupy at
  /// the upstream.
  std::uint64_t maxTokens() const { return MaxTokens; }
  const std::optional<session> &continuedSession() const { return Session; }
  /// Fingerprint of the whole request.
  const fingerprint &content() const { return Content; }
  /// Fingerprint of the start of the prompt.
  const fingerprint &prefix() const { return Prefix; }

  chat_request withSession(session NewSession) const {
    chat_request Copy = *this;
    Copy.Session = std::move(NewSession);
    return Copy;
  }
  chat_request withFingerprints(fingerprint NewContent,
                                fingerprint NewPrefix) const {
    chat_request Copy = *this;
    Copy.Content = std::move(NewContent);
    Copy.Prefix = std::move(NewPrefix);
    return Copy;
  }

  auto key() const {
    return std::tie(Id, Account, Model, Body, MaxTokens, Session, Content,
                    Prefix);
  }

private:
  request_id Id;
  account_id Account;
  std::string Model;
  std::string Body;
  std::uint64_t MaxTokens = 0;
  std::optional<session> Session;
  fingerprint Content;
  fingerprint Prefix;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_CHATREQUEST_H
