#ifndef BLUEBELLKEEL_POLICY_LIKELIHOODRATIO_H
#define BLUEBELLKEEL_POLICY_LIKELIHOODRATIO_H

#include "bluebellkeel/Policy/QualityCounts.h"

namespace bluebellkeel {

/// Returns the logarithm of the likelihood ratio of \p Counts between the
/// shares of good responses \p Worse and \p Expected; positive when \p Worse is
/// likelier.
double logLikelihoodRatio(double Expected, double Worse,
                          const quality_counts &Counts);

/// True if \p Counts refute \p Expected in favour of \p Worse: a version as
/// good as \p Expected is refuted in at most 1 of 1,000 cases, by Wald's bound
/// for the sequential probability ratio test.
bool isRefuted(double Expected, double Worse, const quality_counts &Counts);

/// True if a version counts as meeting \p Target. A \p Prior that meets the
/// target is trusted until ratings refute it; a version with a lower prior must
/// be proved by its ratings.
bool meetsTarget(double Prior, double Target, const quality_counts &Counts);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_LIKELIHOODRATIO_H
