#include "FaultProxy.h"
#include "bluebellkeel/Http/Await.h"
#include <array>
#include <atomic>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <stdexcept>

using namespace bluebellkeel;

namespace asio = boost::asio;

using asio::ip::tcp;
using boost::system::error_code;

/// Delay of each forwarded block in mode Delay.
static constexpr milliseconds AddedDelay{150};

namespace {

/// Both sockets of a proxied connection; used only on the proxy's strand.
struct connection {
  explicit connection(const asio::any_io_executor &Executor)
      : Client(Executor), Target(Executor) {}

  void reset() {
    error_code Ignored;
    for (tcp::socket *End : {&Client, &Target}) {
      End->set_option(asio::socket_base::linger(true, 0), Ignored);
      End->close(Ignored);
    }
  }

  tcp::socket Client;
  tcp::socket Target;
};

} // namespace

class fault_proxy::impl : public std::enable_shared_from_this<impl> {
public:
  impl(thread_pool &Pool, const network_address &Target)
      : Strand(asio::make_strand(Pool.context())), Acceptor(Strand),
        TargetAddress(endpointOf(Target)) {}

  void listen(const network_address &Address);
  void set(link_mode NewMode);

private:
  static tcp::endpoint endpointOf(const network_address &Address) {
    return {asio::ip::make_address(Address.host()), Address.port()};
  }

  void acceptLoop(asio::yield_context Yield);
  void connect(const std::shared_ptr<connection> &Connection,
               asio::yield_context Yield);
  void forwardBytes(const std::shared_ptr<connection> &Connection,
                    bool ToTarget);
  bool drops(bool ToTarget) const;

  asio::strand<asio::io_context::executor_type> Strand;
  tcp::acceptor Acceptor;
  tcp::endpoint TargetAddress;
  std::atomic<link_mode> Mode{link_mode::Pass};
  std::list<std::weak_ptr<connection>> OpenConnections;
};

void fault_proxy::impl::listen(const network_address &Address) {
  Acceptor.open(tcp::v4());
  Acceptor.set_option(asio::socket_base::reuse_address(true));
  Acceptor.bind(endpointOf(Address));
  Acceptor.listen();
  asio::spawn(
      Strand,
      [Self = shared_from_this()](asio::yield_context Yield) {
        Self->acceptLoop(Yield);
      },
      asio::detached);
}

void fault_proxy::impl::set(link_mode NewMode) {
  Mode = NewMode;
  if (NewMode != link_mode::Reset)
    return;
  asio::post(Strand, [Self = shared_from_this()] {
    for (const auto &Weak : Self->OpenConnections) {
      if (auto Connection = Weak.lock())
        Connection->reset();
    }
    Self->OpenConnections.clear();
  });
}

void fault_proxy::impl::acceptLoop(asio::yield_context Yield) {
  while (true) {
    auto Connection = std::make_shared<connection>(Acceptor.get_executor());
    error_code Code;
    Acceptor.async_accept(Connection->Client, Yield[Code]);
    if (Code)
      continue;
    if (Mode == link_mode::Reset) {
      Connection->reset();
      continue;
    }
    OpenConnections.remove_if([](const auto &Weak) { return Weak.expired(); });
    OpenConnections.push_back(Connection);
    asio::spawn(
        Strand,
        [Self = shared_from_this(), Connection](asio::yield_context Inner) {
          Self->connect(Connection, Inner);
        },
        asio::detached);
  }
}

void fault_proxy::impl::connect(const std::shared_ptr<connection> &Connection,
                                asio::yield_context Yield) {
  error_code Code;
  Connection->Target.async_connect(TargetAddress, Yield[Code]);
  if (Code) {
    Connection->reset();
    return;
  }
  forwardBytes(Connection, /*ToTarget=*/true);
  forwardBytes(Connection, /*ToTarget=*/false);
}

bool fault_proxy::impl::drops(bool ToTarget) const {
  link_mode CurrentMode = Mode;
  return CurrentMode == link_mode::Silent ||
         CurrentMode ==
             (ToTarget ? link_mode::LoseRequests : link_mode::LoseAnswers);
}

void fault_proxy::impl::forwardBytes(
    const std::shared_ptr<connection> &Connection, bool ToTarget) {
  auto Loop = [Self = shared_from_this(), Connection,
               ToTarget](asio::yield_context Yield) {
    tcp::socket &From = ToTarget ? Connection->Client : Connection->Target;
    tcp::socket &To = ToTarget ? Connection->Target : Connection->Client;
    std::array<char, 8192> Piece = {};
    error_code Code;
    while (true) {
      std::size_t Size = From.async_read_some(asio::buffer(Piece), Yield[Code]);
      if (Code || Self->drops(ToTarget))
        // TCP would retransmit a lost byte, so the connection stays open and
        // forwards nothing more.
        break;
      if (Self->Mode == link_mode::Delay)
        awaitTime(Yield, AddedDelay);
      asio::async_write(To, asio::buffer(Piece, Size), Yield[Code]);
      if (Code)
        break;
    }
    if (Code == asio::error::eof) {
      To.shutdown(tcp::socket::shutdown_send, Code);
      return;
    }
    if (Code) {
      Connection->reset();
      return;
    }
    // Keeps both ends open and discards the data until the peer closes.
    while (!Code)
      From.async_read_some(asio::buffer(Piece), Yield[Code]);
    Connection->reset();
  };
  asio::spawn(Strand, Loop, asio::detached);
}

fault_proxy::fault_proxy(thread_pool &Pool, const network_address &Listen,
                         const network_address &Target)
    : Impl(std::make_shared<impl>(Pool, Target)) {
  Impl->listen(Listen);
}

void fault_proxy::set(link_mode Mode) { Impl->set(Mode); }
