#ifndef BLUEBELLKEEL_LIB_HTTP_SERVERCONNECTION_H
#define BLUEBELLKEEL_LIB_HTTP_SERVERCONNECTION_H

#include "DisconnectWatcher.h"
#include "RequestReceiver.h"
#include "ServerState.h"
#include "bluebellkeel/Core/MemoryReservation.h"
#include "bluebellkeel/Http/HttpHandler.h"
#include "bluebellkeel/Http/HttpLimitSource.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace bluebellkeel {

/// One connection of a server; serves its requests one after another.
class server_connection final : private http_responder {
public:
  server_connection(std::shared_ptr<interruptible_stream> Connection,
                    http_handler &Handler, const http_limit_source &Source,
                    server_state &State, memory_budget &Memory,
                    boost::asio::yield_context Yield);
  ~server_connection() override;

  void run();

private:
  using message = request_receiver::message;

  bool awaitRequest();
  void skipEmptyLines();
  std::optional<message> readRequest(memory_reservation &Reservation);
  void refuseForMemory(message Message);
  static http_request requestOf(message Message);
  void respond(const http_request &Request);
  void handle(const http_request &Request);
  void refuse(int Status, const std::string &Text);
  void dropRest();
  std::size_t discardReceived(boost::system::error_code &Code);
  bool staysOpen() const;
  template <typename write_t> bool transfer(std::size_t Bytes, write_t Write);

  bool send(const http_response &Response) override;
  bool begin(int Status, const http_headers &Headers) override;
  bool write(std::string_view Piece) override;
  bool end() override;
  void abandon() override;
  bool started() const override { return Started; }
  void watch(std::function<void()> OnDisconnect) override;

  const std::shared_ptr<interruptible_stream> Connection;
  server_stream &Stream;
  http_handler &Handler;
  const http_limit_source &Source;
  /// Limits in force for the current request.
  http_limits Limits;
  server_state &State;
  memory_budget &Memory;
  boost::asio::yield_context Yield;
  boost::beast::flat_buffer Buffer;
  std::shared_ptr<disconnect_watcher> Watcher;
  bool Started = false;
  /// True while a streamed response has begun but not ended.
  bool ResponseUnfinished = false;
  /// True once the response to the current request is sent whole.
  bool ResponseSent = false;
  bool KeepAlive = true;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_SERVERCONNECTION_H
