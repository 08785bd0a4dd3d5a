#include "bluebellkeel/Http/HttpServer.h"
#include "ConnectionRegistration.h"
#include "MemoryCosts.h"
#include "ReservedStack.h"
#include "ServerConnection.h"
#include "bluebellkeel/Http/Await.h"
#include "bluebellkeel/Http/FixedLimits.h"
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

using namespace bluebellkeel;

namespace asio = boost::asio;

using asio::ip::tcp;
using boost::system::error_code;

/// Wait after a connection could not be accepted: the process has no file
/// descriptor left for it, and no event shows when it has one.
static constexpr milliseconds AcceptRetryInterval{50};

/// Longest wait until others have given way to a new connection, and the
/// interval at which that is checked.
static constexpr milliseconds MaxRoomWait{100};
static constexpr milliseconds RoomCheckInterval{5};

/// Address space of a coroutine's stack; only the pages that were used are
/// resident.
static constexpr std::size_t StackBytes = 128UL * 1024;

class http_server::impl : public std::enable_shared_from_this<impl> {
public:
  impl(thread_pool &Pool, http_handler &Handler,
       std::shared_ptr<const http_limit_source> Limits,
       std::shared_ptr<memory_budget> Memory)
      : Pool(Pool), Handler(Handler), Limits(std::move(Limits)),
        Memory(std::move(Memory)), Acceptor(asio::make_strand(Pool.context())) {
  }

  tl::expected<void, std::string> listen(const network_address &Address);
  void disableKeepAlive() { State.Draining = true; }
  void drain();
  server_state &state() { return State; }

private:
  void acceptLoop(asio::yield_context Yield);
  void acceptWaiting();
  void keepRoom();
  void awaitRoom(asio::yield_context Yield);
  void serve(tcp::socket Socket);

  thread_pool &Pool;
  http_handler &Handler;
  std::shared_ptr<const http_limit_source> Limits;
  std::shared_ptr<memory_budget> Memory;
  tcp::acceptor Acceptor;
  server_state State;
};

tl::expected<void, std::string>
http_server::impl::listen(const network_address &Address) {
  error_code Code;
  auto Ip = asio::ip::make_address(Address.host(), Code);
  if (Code)
    return tl::unexpected(Address.host() + " is not an IP address");
  tcp::endpoint Endpoint(Ip, Address.port());
  Acceptor.open(Endpoint.protocol(), Code);
  if (!Code)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Code);
  if (!Code)
    Acceptor.bind(Endpoint, Code);
  if (!Code)
    Acceptor.listen(asio::socket_base::max_listen_connections, Code);
  if (Code)
    return tl::unexpected(Address.text() + ": " + Code.message());
  State.setListening(true);
  auto Self = shared_from_this();
  asio::spawn(
      Acceptor.get_executor(),
      [Self](asio::yield_context Yield) { Self->acceptLoop(Yield); },
      asio::detached);
  return {};
}

void http_server::impl::acceptLoop(asio::yield_context Yield) {
  while (Acceptor.is_open()) {
    error_code Code;
    tcp::socket Socket(asio::make_strand(Pool.context()));
    Acceptor.async_accept(Socket, Yield[Code]);
    if (!Code) {
      keepRoom();
      awaitRoom(Yield);
      serve(std::move(Socket));
      continue;
    }
    if (!Acceptor.is_open())
      break;
    State.giveWay(shortage::Now, room(1, 0));
    awaitTime(Yield, AcceptRetryInterval);
  }
  // A connection may have been accepted before the socket was closed.
  State.setListening(false);
}

/// Accepts the connections that wait in the listening socket, which would be
/// reset with it.
void http_server::impl::acceptWaiting() {
  error_code Code;
  Acceptor.non_blocking(true, Code);
  while (!Code) {
    tcp::socket Socket(asio::make_strand(Pool.context()));
    Acceptor.accept(Socket, Code);
    if (Code)
      continue;
    keepRoom();
    serve(std::move(Socket));
  }
}

/// Makes connections that nobody misses give way while some room is left, so
/// that they do not keep new ones out.
void http_server::impl::keepRoom() {
  constexpr std::size_t ReserveDivisor = 8;
  std::size_t Open = State.connections();
  std::size_t Most = Limits->limits().connections();
  std::size_t Unreserved = Most - Most / ReserveDivisor;
  if (Open >= Unreserved)
    State.giveWay(shortage::Soon, room(Open - Unreserved + 1, 0));
  if (Memory->scarce())
    State.giveWay(shortage::Soon, room(1, ConnectionBytes));
}

/// Waits until there is room for a connection, as long as others give way.
void http_server::impl::awaitRoom(asio::yield_context Yield) {
  auto HasRoom = [this] {
    http_limits Current = Limits->limits();
    return State.connections() < Current.connections() &&
           Memory->missing(Current.connectionUse(), ConnectionBytes) == 0;
  };
  auto End = std::chrono::steady_clock::now() + MaxRoomWait;
  while (!HasRoom() && std::chrono::steady_clock::now() < End &&
         State.giveWay(shortage::Now, room(1, ConnectionBytes)) != room())
    awaitTime(Yield, RoomCheckInterval);
}

/// Closes the connection at once if there is no room for it.
void http_server::impl::serve(tcp::socket Socket) {
  http_limits Current = Limits->limits();
  if (State.connections() >= Current.connections())
    return;
  auto Reservation =
      std::make_unique<memory_reservation>(*Memory, Current.connectionUse());
  if (!Reservation->growTo(ConnectionBytes))
    return;
  // The stack is returned to the system with the connection.
  auto Stack = reserved_stack::map(StackBytes);
  if (!Stack)
    return;
  auto Self = shared_from_this();
  auto Executor = Socket.get_executor();
  auto Registration = std::make_shared<const connection_registration>(
      std::shared_ptr<server_state>(Self, &State),
      std::make_shared<interruptible_stream>(std::move(Socket)),
      std::move(Reservation));
  asio::spawn(
      Executor, std::allocator_arg, *Stack,
      [Self, Registration](asio::yield_context Yield) {
        server_connection Connection(Registration->connection(), Self->Handler,
                                     *Self->Limits, Self->State, *Self->Memory,
                                     Yield);
        Connection.run();
      },
      asio::detached);
}

void http_server::impl::drain() {
  State.Draining = true;
  auto Self = shared_from_this();
  asio::post(Acceptor.get_executor(), [Self] {
    Self->acceptWaiting();
    error_code Ignored;
    Self->Acceptor.close(Ignored);
  });
}

http_server::http_server(thread_pool &Pool, http_handler &Handler,
                         http_limits Limits)
    : http_server(Pool, Handler, std::make_shared<const fixed_limits>(Limits),
                  std::make_shared<memory_budget>()) {}

http_server::http_server(thread_pool &Pool, http_handler &Handler,
                         std::shared_ptr<const http_limit_source> Limits,
                         std::shared_ptr<memory_budget> Memory)
    : Impl(std::make_shared<impl>(Pool, Handler, std::move(Limits),
                                  std::move(Memory))) {}

http_server::~http_server() = default;

tl::expected<void, std::string>
http_server::listen(const network_address &Address) {
  return Impl->listen(Address);
}

void http_server::disableKeepAlive() { Impl->disableKeepAlive(); }

void http_server::drain() { Impl->drain(); }

std::size_t http_server::active() const { return Impl->state().active(); }

std::size_t http_server::connections() const {
  return Impl->state().connections();
}

bool http_server::awaitIdle(milliseconds Limit) const {
  return Impl->state().awaitIdle(Limit);
}

void http_server::closeIdle() { Impl->state().closeIdle(); }

void http_server::refuseIncomplete() { Impl->state().endReads(); }

bool http_server::awaitClosed(milliseconds Limit) const {
  return Impl->state().awaitClosed(Limit);
}

void http_server::endWait() { Impl->state().endWait(); }
