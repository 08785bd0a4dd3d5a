#ifndef BLUEBELLKEEL_LIB_HTTP_CONNECTIONPHASE_H
#define BLUEBELLKEEL_LIB_HTTP_CONNECTIONPHASE_H

namespace bluebellkeel {

/// What a connection of a server waits for.
enum class connection_phase {
  /// The next request.
  Idle,
  /// The rest of a request.
  Receiving,
  /// The handler of a request.
  Serving,
  /// The client, which has to read a response.
  Sending,
  /// The end of the connection, after the last response.
  Lingering,
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_CONNECTIONPHASE_H
