#ifndef REVIEW_STANDINS_3_SCENE_H
#define REVIEW_STANDINS_3_SCENE_H

#include "Platform.h"
#include <cstdlib>
#include <filesystem>

namespace review {

/// A small deployment: a store, two gateways and a record of what happens. The
/// program's argument is the folder for the record.
class scene {
public:
  explicit scene(const std::string &RecordFolder)
      : Record(RecordFolder + "/record.txt"), Ports(freePorts(32)),
        Folder(makeFolder()), Store(Ports[0]),
        First("edge-north-1", Folder, Ports[0], Ports[9],
              {Ports[1], Ports[2], Ports[3], Ports[4], Ports[5]}),
        Second("edge-north-2", Folder, Ports[0], Ports[4],
               {Ports[6], Ports[7], Ports[8], Ports[9], Ports[10]}) {
    endWithGateways();
  }
  ~scene() {
    First.kill();
    Second.kill();
    if (!std::getenv("REVIEW_KEEP"))
      std::filesystem::remove_all(Folder);
  }
  scene(const scene &) = delete;
  scene &operator=(const scene &) = delete;

  /// A port for something else, from 0 up.
  int port(std::size_t Index) const { return Ports.at(11 + Index); }
  const std::string &folder() const { return Folder; }

  void putConfiguration(const std::string &Routes, const std::string &Services,
                        int Version = 1) {
    Store.put("keyed.op", "config",
              "{\"version\":" + std::to_string(Version) + ",\"routes\":[" +
                  Routes + "],\"services\":[" + Services +
                  R"(],"tenants":[{"name":"mill","api_keys":["mill-key"]}]})");
  }
  /// Starts both gateways; false if they do not become ready.
  bool startGateways() {
    First.start();
    Second.start();
    return First.awaitReady(milliseconds(15000)) &&
           Second.awaitReady(milliseconds(15000));
  }

  static std::string route(const std::string &Name, const std::string &Kind,
                           const std::string &Service, int Attempts,
                           int Timeout, int Objective,
                           const std::string &More = "") {
    return R"({"name":")" + Name +
           R"(","host":"desk.example","path_prefix":"/)" + Name +
           R"(/","kind":")" + Kind + R"(","service":")" + Service +
           R"(","attempts":)" + std::to_string(Attempts) + R"(,"timeout_ms":)" +
           std::to_string(Timeout) + R"(,"slo_ms":)" +
           std::to_string(Objective) + More + "}";
  }
  /// Returns a request with the headers of a client.
  static std::string request(const std::string &Path, const std::string &Id,
                             int Deadline, const std::string &Body,
                             const std::string &More = "") {
    return "POST " + Path + " HTTP/1.1\r\nHost: desk.example\r\n" +
           "Bluebellkeel-Request-Id: " + Id +
           "\r\nBluebellkeel-Deadline-Ms: " + std::to_string(Deadline) +
           "\r\nApi-Key: mill-key\r\n" + More +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  record Record;

private:
  static std::string makeFolder() {
    std::string Name = "/tmp/review-XXXXXX";
    if (!mkdtemp(Name.data()))
      std::_Exit(CannotRun);
    return Name;
  }

  const std::vector<int> Ports;
  const std::string Folder;

public:
  store Store;
  gateway First;
  gateway Second;
};

inline void pause(milliseconds Time) { std::this_thread::sleep_for(Time); }

} // namespace review

#endif // REVIEW_STANDINS_3_SCENE_H
