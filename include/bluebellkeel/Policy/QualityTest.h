#ifndef BLUEBELLKEEL_POLICY_QUALITYTEST_H
#define BLUEBELLKEEL_POLICY_QUALITYTEST_H

#include "bluebellkeel/Policy/QualityCounts.h"

namespace bluebellkeel {

/// How much likelier \p Counts are under a share of good answers of \p Worse
/// than under one of \p Expected, as a logarithm.
double logLikelihoodRatio(double Expected, double Worse,
                          const quality_counts &Counts);

/// True when \p Counts speak so clearly for \p Worse that a version as good as
/// \p Expected would look like this in at most 1 of 1,000 courses (Wald's
/// bound for the sequential test).
bool isRefuted(double Expected, double Worse, const quality_counts &Counts);

/// Whether a version counts as meeting \p Target. The operators' \p Prior is
/// trusted until ratings refute it; a version they expect less of must be
/// proved by its ratings.
bool meetsTarget(double Prior, double Target, const quality_counts &Counts);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_QUALITYTEST_H
