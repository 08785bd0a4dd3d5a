#include "bluebellkeel/Peer/WebsocketPeerLink.h"
#include "PeerChannel.h"
#include "PeerEndpoint.h"
#include "PeerServer.h"
#include "bluebellkeel/Peer/PeerCodec.h"
#include <boost/asio/steady_timer.hpp>
#include <thread>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

using namespace bluebellkeel;

using websocketpp::connection_hdl;
using ws_client = websocketpp::client<websocketpp::config::asio_client>;

static constexpr milliseconds QueryTimeout{1000};
static constexpr milliseconds SweepInterval{100};

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

  std::string encode(const instance_id &To, std::uint64_t Number,
                     const peer_body &Body);
  std::optional<peer_envelope> decode(const std::string &Bytes);
  peer_channel &channelOf(const instance_record &Peer);
  void sendOn(peer_channel &Channel, std::string Frame);
  void dial(peer_channel &Channel);
  void onOpen(const network_address &Address, std::uint64_t DialId);
  void onClosed(const network_address &Address, std::uint64_t DialId);
  void onAnswer(const network_address &Address, const std::string &Bytes);
  bool onQuery(const connection_hdl &Connection, const std::string &Bytes);
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
  peer_server Server;
  boost::asio::steady_timer SweepTimer;
  std::map<network_address, peer_channel> Channels;
  std::uint64_t LastMessageNumber = 0;
  std::uint64_t LastDialId = 0;
  std::thread Thread;
};

websocket_peer_link::impl::impl(instance_id Self, const signer &Signer,
                                const time_source &Clock, peer_monitor &Monitor)
    : Self(std::move(Self)), Codec(Signer), Clock(Clock), Monitor(Monitor),
      Server(
          Io, Clock,
          [this](const connection_hdl &Connection, const std::string &Bytes) {
            return onQuery(Connection, Bytes);
          }),
      SweepTimer(Io) {
  setUpPeerEndpoint(Client, Io);
}

tl::expected<void, std::string>
websocket_peer_link::impl::start(const network_address &Address,
                                 peer_responder &NewResponder) {
  Responder = &NewResponder;
  auto Listening = Server.listen(Address);
  if (!Listening)
    return Listening;
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
  // A peer takes a long message only after one that shows who sends it.
  if (!Frames.empty() &&
      Frames.front().size() > unknown_connections::MaxMessageBytes)
    sendOn(Channel,
           encode(instance_id(), ++LastMessageNumber, heartbeat_query()));
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

/// Returns true if the message is valid, whether it is answered or not.
bool websocket_peer_link::impl::onQuery(const connection_hdl &Connection,
                                        const std::string &Bytes) {
  auto Envelope = decode(Bytes);
  if (!Envelope)
    return false;
  if (auto Answer = Responder->answer(Envelope->from(), Envelope->body()))
    Server.send(Connection,
                encode(Envelope->from(), Envelope->number(), *Answer));
  return true;
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
  Server.closeExpired();
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
