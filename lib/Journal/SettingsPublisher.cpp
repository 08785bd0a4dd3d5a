#include "bluebellkeel/Journal/SettingsPublisher.h"

using namespace bluebellkeel;

void settings_publisher::publish(const settings_change &Change, callback Done) {
  if (!Queue.push({Change, Done}))
    Done(tl::unexpected(journal_error::QueueFull));
}

void settings_publisher::publishOnce(milliseconds Wait) {
  for (auto &Item : Queue.take(1, absl::FromChrono(Wait)))
    Item.Done(Log.append({Item.Change}));
}

void settings_publisher::run() {
  while (!Queue.closed())
    publishOnce(seconds(1));
}
