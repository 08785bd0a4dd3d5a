#ifndef REVIEW_STANDINS_LISTENER_H
#define REVIEW_STANDINS_LISTENER_H

#include "Connection.h"
#include <functional>

namespace review {

/// Listens on a free port of 127.0.0.1 and serves each connection on a thread
/// of its own until the process ends.
class listener {
public:
  using serve_function = std::function<void(connection &)>;

  /// \param ReceiveBytes size of the receive buffers; 0 for the default.
  explicit listener(serve_function Serve, int ReceiveBytes = 0);

  std::uint16_t port() const { return Port; }
  std::string address() const { return addressOf(Port); }

private:
  void acceptLoop(int Socket) const;

  serve_function Serve;
  std::uint16_t Port = 0;
};

} // namespace review

#endif // REVIEW_STANDINS_LISTENER_H
