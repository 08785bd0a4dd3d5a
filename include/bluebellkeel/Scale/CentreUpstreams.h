#ifndef BLUEBELLKEEL_SCALE_CENTREUPSTREAMS_H
#define BLUEBELLKEEL_SCALE_CENTREUPSTREAMS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/DataCentreId.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// The upstreams of a service in one data centre.
class centre_upstreams : public comparable<centre_upstreams> {
public:
  /// Constructor arguments of centre_upstreams.
  struct fields {
    data_centre_id Centre;
    std::uint32_t Present = 0;
    std::uint32_t Cold = 0;
    bool Closed = false;
  };

  explicit centre_upstreams(fields Fields) : Content(std::move(Fields)) {}

  const data_centre_id &centre() const { return Content.Centre; }
  /// Those that are registered and not leaving, cold ones too.
  std::uint32_t present() const { return Content.Present; }
  std::uint32_t cold() const { return Content.Cold; }
  /// True if operators closed the data centre.
  bool closed() const { return Content.Closed; }
  auto key() const {
    return std::tie(Content.Centre, Content.Present, Content.Cold,
                    Content.Closed);
  }

private:
  fields Content;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_CENTREUPSTREAMS_H
