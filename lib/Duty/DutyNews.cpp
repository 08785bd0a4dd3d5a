#include "bluebellkeel/Duty/DutyNews.h"

using namespace bluebellkeel;

void duty_news::note(const duty_progress &Progress) {
  auto Order = [](const duty_progress &Of) {
    return std::make_tuple(Of.token(), Of.newestWindow(), Of.holder().empty());
  };
  Newest.update([&](duty_progress &Known) {
    if (Order(Progress) > Order(Known))
      Known = Progress;
  });
}
