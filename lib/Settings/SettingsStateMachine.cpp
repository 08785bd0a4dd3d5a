#include "bluebellkeel/Settings/SettingsStateMachine.h"
#include "bluebellkeel/Settings/SettingsSchema.h"
#include <map>

using namespace bluebellkeel;

using verdict = change_outcome::verdict;

static constexpr std::size_t GroupSegment = 1;
static constexpr std::size_t NameSegment = 2;

static settings_state::value_map
applyEdits(settings_state::value_map Values,
           const std::vector<setting_edit> &Edits) {
  for (const auto &Edit : Edits) {
    if (Edit.value())
      Values[Edit.path()] = *Edit.value();
    else
      Values.erase(Edit.path());
  }
  return Values;
}

/// Checks that each name, such as that of an account, is in the subtree of one
/// team only, and that each API key belongs to one account only. Otherwise two
/// teams would control the same object.
static std::vector<settings_error>
checkUnique(const settings_state::value_map &Values) {
  std::map<std::pair<std::string, std::string>, team_id> Owners;
  std::map<std::string, std::string> Keys;
  std::vector<settings_error> Errors;
  for (const auto &[Path, Value] : Values) {
    const auto &Segments = Path.segments();
    auto Owner = Owners.try_emplace(
        {Segments.at(GroupSegment), Segments.at(NameSegment)}, Path.team());
    if (Owner.first->second != Path.team())
      Errors.emplace_back(Path.text(), "a name no other team has",
                          "one of team " + Owner.first->second.text());
    if (Segments.back() != "api-key")
      continue;
    auto Key = Keys.try_emplace(*Value.asText(), Segments.at(NameSegment));
    if (!Key.second)
      Errors.emplace_back(Path.text(), "a key no other account has",
                          "that of " + Key.first->second);
  }
  return Errors;
}

static bool editsOtherSubtree(const settings_change &Change) {
  for (const auto &Edit : Change.edits()) {
    if (Edit.path().team() != Change.team())
      return true;
  }
  return false;
}

static std::vector<settings_error> checkEdits(const settings_change &Change) {
  std::vector<settings_error> Errors;
  for (const auto &Edit : Change.edits()) {
    auto Error = checkEdit(Edit);
    if (Error)
      Errors.push_back(*Error);
  }
  return Errors;
}

change_outcome
settings_state_machine::decide(log_offset Offset,
                               const settings_change &Change) const {
  auto Outcome = [&](verdict Verdict, std::string Winner,
                     std::vector<settings_error> Errors) {
    return change_outcome(Change.id(), Offset, Verdict, std::move(Winner),
                          std::move(Errors));
  };
  if (editsOtherSubtree(Change))
    return Outcome(verdict::Forbidden, "", {});
  auto Errors = checkEdits(Change);
  if (!Errors.empty())
    return Outcome(verdict::Invalid, "", std::move(Errors));
  subtree_revision Current = State.revisionOf(Change.team());
  // A resend of the last accepted change is accepted but not applied again.
  if (Current.changeId() == Change.id())
    return Outcome(verdict::Accepted, "", {});
  if (Current.offset() != Change.baseRevision())
    return Outcome(verdict::Conflict, Current.changeId(), {});
  Errors = checkUnique(applyEdits(State.values(), Change.edits()));
  if (!Errors.empty())
    return Outcome(verdict::Invalid, "", std::move(Errors));
  return Outcome(verdict::Accepted, "", {});
}

change_outcome settings_state_machine::apply(log_offset Offset,
                                             const settings_change &Change) {
  change_outcome Outcome = decide(Offset, Change);
  if (Offset <= State.applied())
    return Outcome;
  bool Resend = State.revisionOf(Change.team()).changeId() == Change.id();
  if (!Outcome.accepted() || Resend) {
    skip(Offset);
    return Outcome;
  }
  auto Revisions = State.revisions();
  Revisions[Change.team()] = subtree_revision(Offset, Change.id());
  State = settings_state(Offset, applyEdits(State.values(), Change.edits()),
                         std::move(Revisions));
  return Outcome;
}

void settings_state_machine::skip(log_offset Offset) {
  if (Offset > State.applied())
    State = State.withApplied(Offset);
}
