#ifndef BLUEBELLKEEL_LIB_HTTP_INTERRUPTIBLESTREAM_H
#define BLUEBELLKEEL_LIB_HTTP_INTERRUPTIBLESTREAM_H

#include "ConnectionActivity.h"
#include "ProgressPolicy.h"
#include "bluebellkeel/Core/Time.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <cstdint>
#include <memory>

namespace bluebellkeel {

/// A connection whose transfers are followed.
using server_stream =
    boost::beast::basic_stream<boost::asio::ip::tcp,
                               boost::asio::any_io_executor, progress_policy>;

/// The stream of a server's connection. Its reads can be ended from any thread
/// with the error boost::asio::error::operation_aborted; the stream stays open.
class interruptible_stream
    : public std::enable_shared_from_this<interruptible_stream> {
public:
  /// What a pending read waits for.
  enum class read_kind { None, NextRequest, RestOfRequest, Discarded };

  explicit interruptible_stream(boost::asio::ip::tcp::socket Socket)
      : Stream(progress_policy(Activity), std::move(Socket)),
        Timer(Stream.get_executor()) {}

  /// Must be used on the stream's executor only.
  server_stream &stream() { return Stream; }
  /// What the connection does; may be used from any thread.
  connection_activity &activity() { return Activity; }
  const connection_activity &activity() const { return Activity; }
  /// Declares what the next reads wait for. Must be called on the stream's
  /// executor.
  void setRead(read_kind Kind);
  /// Declares as well that these reads are ended at \p End.
  void setRead(read_kind Kind, monotonic_time End);

  /// True if reads that wait for \p Kind are ended at once. Must be called on
  /// the stream's executor.
  bool interrupted(read_kind Kind) const { return Kind <= Interrupted; }

  /// Ends the current and all later waits for a next request.
  void endWaits() { interrupt(read_kind::NextRequest); }
  /// Ends all reads of requests.
  void endReads() { interrupt(read_kind::RestOfRequest); }
  /// Makes the connection end its current phase soon, so that there is room for
  /// others. A request that has arrived whole is still answered; one that has
  /// not is refused.
  void giveWay();
  /// True if the rest of a request was given up by giveWay(). Must be called on
  /// the stream's executor.
  bool gaveWay() const { return GaveWay; }
  /// Declares that the request has arrived whole all the same, so that it is
  /// served. Must be called on the stream's executor.
  void keepRequest() { GaveWay = false; }

private:
  void interrupt(read_kind UpTo);
  void endPhase();
  void cancelIfEnded();
  void repeatAt(monotonic_time At);

  connection_activity Activity;
  server_stream Stream;
  /// Runs until the pending reads have to end, and then until they are
  /// cancelled once more.
  boost::asio::steady_timer Timer;
  read_kind Pending = read_kind::None;
  /// Reads up to this kind are ended.
  read_kind Interrupted = read_kind::None;
  /// The pending reads are ended from then on.
  monotonic_time End = monotonic_time::max();
  bool GaveWay = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_INTERRUPTIBLESTREAM_H
