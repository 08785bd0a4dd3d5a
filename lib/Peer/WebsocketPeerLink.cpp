#include "bluebellkeel/Peer/WebsocketPeerLink.h"
#include "PeerChannel.h"
#include "bluebellkeel/Peer/PeerCodec.h"
#include <boost/asio/steady_timer.hpp>
#include <thread>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

using namespace bluebellkeel;

using websocketpp::connection_hdl;
using ws_client = websocketpp::client<websocketpp::config::asio_client>;
using ws_server = websocketpp::server<websocketpp::config::asio>;

static constexpr milliseconds QueryTimeout{1000};
static constexpr milliseconds SweepInterval{100};
static constexpr long HandshakeTimeoutMs = 1000;

/// Number of consecutive timeouts after which the connection is considered
/// dead and is replaced.
static constexpr unsigned MaxConsecutiveTimeouts = 2;

/// A connection on which nothing was sent for this time is closed.
static constexpr milliseconds IdleTimeout{30000};

/// Maximum number of frames that wait for one connection to open; further
/// frames are dropped.
static constexpr std::size_t MaxUnsentFrames = 256;

class websocket_peer_link::impl {
public:
  impl(instance_id Self, const signer &Signer, const time_source &Clock,
       peer_monitor &Monitor);

  tl::expected<void, std::string> start(const network_address &Address,
                                        peer_responder &NewResponder);
  void stop();
  void sendQuery(const instance_record &Peer, peer_body Query, callback Done);
  void sendOneWay(const instance_record &Peer, peer_body Message);

private:
  void run();

  using message_ptr = ws_client::message_ptr;

  template <typename endpoint_t> void setUp(endpoint_t &Endpoint);
  std::string encode(const instance_id &To, std::uint64_t Number,
                     const peer_body &Body);
  std::optional<peer_envelope> decode(const std::string &Bytes);
  peer_channel &channelOf(const instance_record &Peer);
  void sendOn(peer_channel &Channel, std::string Frame);
  void dial(peer_channel &Channel);
  void onOpen(const network_address &Address, std::uint64_t DialId);
  void onClosed(const network_address &Address, std::uint64_t DialId);
  void onAnswer(const network_address &Address, const std::string &Bytes);
  void onQuery(connection_hdl Connection, const std::string &Bytes);
  void reset(peer_channel &Channel);
  void sweep();
  void sweepChannel(peer_channel &Channel, monotonic_time Now);
  void scheduleSweep();

  instance_id Self;
  peer_codec Codec;
  const time_source &Clock;
  peer_responder *Responder = nullptr;
  peer_monitor &Monitor;
  boost::asio::io_context Io;
  ws_client Client;
  ws_server Server;
  boost::asio::steady_timer SweepTimer;
  std::map<network_address, peer_channel> Channels;
  std::uint64_t LastMessageNumber = 0;
  std::uint64_t LastDialId = 0;
  std::thread Thread;
};

websocket_peer_link::impl::impl(instance_id Self, const signer &Signer,
                                const time_source &Clock, peer_monitor &Monitor)
    : Self(std::move(Self)), Codec(Signer), Clock(Clock), Monitor(Monitor),
      SweepTimer(Io) {
  setUp(Client);
  setUp(Server);
  Server.set_reuse_addr(true);
  Server.set_message_handler(
      [this](connection_hdl Connection, ws_server::message_ptr Message) {
        onQuery(Connection, Message->get_payload());
      });
}

template <typename endpoint_t>
void websocket_peer_link::impl::setUp(endpoint_t &Endpoint) {
  Endpoint.clear_access_channels(websocketpp::log::alevel::all);
  Endpoint.clear_error_channels(websocketpp::log::elevel::all);
  Endpoint.init_asio(&Io);
  Endpoint.set_max_message_size(peer_codec::MaxBytes);
  Endpoint.set_open_handshake_timeout(HandshakeTimeoutMs);
  Endpoint.set_close_handshake_timeout(HandshakeTimeoutMs);
}

tl::expected<void, std::string>
websocket_peer_link::impl::start(const network_address &Address,
                                 peer_responder &NewResponder) {
  Responder = &NewResponder;
  websocketpp::lib::error_code Code;
  boost::system::error_code Ignored;
  auto Ip = boost::asio::ip::make_address(Address.host(), Ignored);
  Server.listen(boost::asio::ip::tcp::endpoint(Ip, Address.port()), Code);
  if (!Code)
    Server.start_accept(Code);
  if (Code)
    return tl::unexpected(Address.text() + ": " + Code.message());
  scheduleSweep();
  Thread = std::thread([this] { run(); });
  return {};
}

/// Runs the link until it stops. A message whose handler throws is dropped.
void websocket_peer_link::impl::run() {
  while (!Io.stopped()) {
    try {
      Io.run();
    } catch (const std::exception &) {
      Monitor.countPeerFault(peer_error::Malformed);
    }
  }
}

void websocket_peer_link::impl::stop() {
  Io.stop();
  if (Thread.joinable())
    Thread.join();
}

std::string websocket_peer_link::impl::encode(const instance_id &To,
                                              std::uint64_t Number,
                                              const peer_body &Body) {
  std::string Frame =
      Codec.encode(peer_envelope(Self, To, Number, Clock.wallNow(), Body));
  Monitor.countPeerMessage(std::string(kindOf(Body)), /*Sent=*/true,
                           Frame.size());
  return Frame;
}

std::optional<peer_envelope>
websocket_peer_link::impl::decode(const std::string &Bytes) {
  auto Envelope = Codec.decode(Bytes, Self, Clock.wallNow());
  if (!Envelope) {
    Monitor.countPeerFault(Envelope.error());
    return std::nullopt;
  }
  Monitor.countPeerMessage(std::string(kindOf(Envelope->body())),
                           /*Sent=*/false, Bytes.size());
  return *Envelope;
}

peer_channel &
websocket_peer_link::impl::channelOf(const instance_record &Peer) {
  peer_channel &Channel = Channels[Peer.peerAddress()];
  Channel.Address = Peer.peerAddress();
  Channel.UsedAt = Clock.monotonicNow();
  return Channel;
}

void websocket_peer_link::impl::sendQuery(const instance_record &Peer,
                                          peer_body Query, callback Done) {
  boost::asio::post(Io, [=] {
    peer_channel &Channel = channelOf(Peer);
    std::uint64_t Number = ++LastMessageNumber;
    Channel.PendingQueries[Number] = {Done,
                                      Clock.monotonicNow() + QueryTimeout};
    sendOn(Channel, encode(Peer.id(), Number, Query));
  });
}

void websocket_peer_link::impl::sendOneWay(const instance_record &Peer,
                                           peer_body Message) {
  boost::asio::post(Io, [=] {
    sendOn(channelOf(Peer), encode(Peer.id(), ++LastMessageNumber, Message));
  });
}

void websocket_peer_link::impl::sendOn(peer_channel &Channel,
                                       std::string Frame) {
  if (Channel.Stage == peer_channel::stage::Open) {
    websocketpp::lib::error_code Ignored;
    Client.send(Channel.Connection, Frame, websocketpp::frame::opcode::binary,
                Ignored);
    return;
  }
  if (Channel.UnsentFrames.size() < MaxUnsentFrames)
    Channel.UnsentFrames.push_back(std::move(Frame));
  if (Channel.Stage == peer_channel::stage::Closed)
    dial(Channel);
}

void websocket_peer_link::impl::dial(peer_channel &Channel) {
  websocketpp::lib::error_code Code;
  auto Connection =
      Client.get_connection("ws://" + Channel.Address.text() + "/peer", Code);
  if (Code)
    return;
  std::uint64_t DialId = ++LastDialId;
  network_address Address = Channel.Address;
  Connection->set_open_handler(
      [this, Address, DialId](connection_hdl) { onOpen(Address, DialId); });
  Connection->set_fail_handler(
      [this, Address, DialId](connection_hdl) { onClosed(Address, DialId); });
  Connection->set_close_handler(
      [this, Address, DialId](connection_hdl) { onClosed(Address, DialId); });
  Connection->set_message_handler(
      [this, Address](connection_hdl, message_ptr Message) {
        onAnswer(Address, Message->get_payload());
      });
  Channel.DialId = DialId;
  Channel.Stage = peer_channel::stage::Dialling;
  Channel.Connection = Connection->get_handle();
  Client.connect(Connection);
}

void websocket_peer_link::impl::onOpen(const network_address &Address,
                                       std::uint64_t DialId) {
  peer_channel &Channel = Channels[Address];
  if (Channel.DialId != DialId)
    return;
  Channel.Stage = peer_channel::stage::Open;
  std::vector<std::string> Frames = std::move(Channel.UnsentFrames);
  Channel.UnsentFrames.clear();
  for (auto &Frame : Frames)
    sendOn(Channel, std::move(Frame));
}

void websocket_peer_link::impl::onClosed(const network_address &Address,
                                         std::uint64_t DialId) {
  peer_channel &Channel = Channels[Address];
  if (Channel.DialId == DialId)
    reset(Channel);
}

/// Closes the connection. Its pending queries complete without an answer.
void websocket_peer_link::impl::reset(peer_channel &Channel) {
  if (Channel.Stage != peer_channel::stage::Closed) {
    websocketpp::lib::error_code Ignored;
    Client.close(Channel.Connection, websocketpp::close::status::going_away, "",
                 Ignored);
  }
  Channel.Stage = peer_channel::stage::Closed;
  Channel.DialId = 0;
  Channel.ConsecutiveTimeouts = 0;
  Channel.UnsentFrames.clear();
  auto PendingQueries = std::move(Channel.PendingQueries);
  Channel.PendingQueries.clear();
  for (auto &[Number, Query] : PendingQueries)
    Query.Done(std::nullopt);
}

void websocket_peer_link::impl::onAnswer(const network_address &Address,
                                         const std::string &Bytes) {
  auto Envelope = decode(Bytes);
  if (!Envelope)
    return;
  peer_channel &Channel = Channels[Address];
  auto Found = Channel.PendingQueries.find(Envelope->number());
  if (Found == Channel.PendingQueries.end())
    return;
  callback Done = std::move(Found->second.Done);
  Channel.PendingQueries.erase(Found);
  Channel.ConsecutiveTimeouts = 0;
  Done(Envelope->body());
}

void websocket_peer_link::impl::onQuery(connection_hdl Connection,
                                        const std::string &Bytes) {
  auto Envelope = decode(Bytes);
  if (!Envelope)
    return;
  auto Answer = Responder->answer(Envelope->from(), Envelope->body());
  if (!Answer)
    return;
  websocketpp::lib::error_code Ignored;
  Server.send(Connection, encode(Envelope->from(), Envelope->number(), *Answer),
              websocketpp::frame::opcode::binary, Ignored);
}

void websocket_peer_link::impl::sweepChannel(peer_channel &Channel,
                                             monotonic_time Now) {
  std::vector<callback> TimedOut;
  for (auto It = Channel.PendingQueries.begin();
       It != Channel.PendingQueries.end();) {
    if (It->second.Deadline > Now) {
      ++It;
      continue;
    }
    TimedOut.push_back(std::move(It->second.Done));
    It = Channel.PendingQueries.erase(It);
  }
  Channel.ConsecutiveTimeouts += static_cast<unsigned>(TimedOut.size());
  if (Channel.ConsecutiveTimeouts >= MaxConsecutiveTimeouts)
    reset(Channel);
  for (auto &Done : TimedOut)
    Done(std::nullopt);
}

void websocket_peer_link::impl::sweep() {
  monotonic_time Now = Clock.monotonicNow();
  for (auto It = Channels.begin(); It != Channels.end();) {
    peer_channel &Channel = It->second;
    sweepChannel(Channel, Now);
    bool Unused =
        Channel.PendingQueries.empty() && Now - Channel.UsedAt > IdleTimeout;
    if (Unused)
      reset(Channel);
    It = Unused ? Channels.erase(It) : std::next(It);
  }
  scheduleSweep();
}

void websocket_peer_link::impl::scheduleSweep() {
  SweepTimer.expires_after(SweepInterval);
  SweepTimer.async_wait([this](const boost::system::error_code &Code) {
    if (!Code)
      sweep();
  });
}

websocket_peer_link::websocket_peer_link(instance_id Self, const signer &Signer,
                                         const time_source &Clock,
                                         peer_monitor &Monitor)
    : Impl(std::make_unique<impl>(std::move(Self), Signer, Clock, Monitor)) {}

websocket_peer_link::~websocket_peer_link() { stop(); }

tl::expected<void, std::string>
websocket_peer_link::start(const network_address &Address,
                           peer_responder &Responder) {
  return Impl->start(Address, Responder);
}

void websocket_peer_link::stop() { Impl->stop(); }

void websocket_peer_link::sendQuery(const instance_record &Peer,
                                    peer_body Query, callback Done) {
  Impl->sendQuery(Peer, std::move(Query), std::move(Done));
}

void websocket_peer_link::sendOneWay(const instance_record &Peer,
                                     peer_body Message) {
  Impl->sendOneWay(Peer, std::move(Message));
}
