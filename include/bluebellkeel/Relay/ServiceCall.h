#ifndef BLUEBELLKEEL_RELAY_SERVICECALL_H
#define BLUEBELLKEEL_RELAY_SERVICECALL_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Core/RequestId.h"
#include "bluebellkeel/Core/ServiceId.h"
#include "bluebellkeel/Journal/Ticket.h"
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// A call to a plain service, requested by a client account.
class service_call : public comparable<service_call> {
public:
  service_call() = default;
  service_call(request_id Id, account_id Account, service_id Service,
               std::string Operation, std::string Body)
      : Id(std::move(Id)), Account(std::move(Account)),
        Service(std::move(Service)), Operation(std::move(Operation)),
        Body(std::move(Body)) {}

  const request_id &id() const { return Id; }
  const account_id &account() const { return Account; }
  const service_id &service() const { return Service; }
  const std::string &operation() const { return Operation; }
  const std::string &body() const { return Body; }
  const std::optional<ticket> &callerTicket() const { return Ticket; }
  /// True unless the caller states that it sends this ticket for the first
  /// time.
  bool mayBeResend() const { return Resend; }

  service_call withTicket(ticket NewTicket, bool MayBeResend) const {
    service_call Copy = *this;
    Copy.Ticket = std::move(NewTicket);
    Copy.Resend = MayBeResend;
    return Copy;
  }

  auto key() const {
    return std::tie(Id, Account, Service, Operation, Body, Ticket, Resend);
  }

private:
  request_id Id;
  account_id Account;
  service_id Service;
  std::string Operation;
  std::string Body;
  std::optional<ticket> Ticket;
  bool Resend = true;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_SERVICECALL_H
