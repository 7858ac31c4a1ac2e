/**
 * Checks that a schema of single fields cannot make: names that must be unique, names that must exist,
 * and limits over several fields.
 */
import { formatPath } from './document.js';
import type { DocumentPath, PositionedProblem } from './document.js';
import type { OperatorConfiguration } from './operator-configuration.js';

/** Tolerates the rounding of a sum such as 0.1 + 0.2 + 0.7. */
const SHARE_TOLERANCE = 1e-9;

interface PlacedName {
  name: string;
  path: DocumentPath;
}

export function findReferenceProblems(configuration: OperatorConfiguration): PositionedProblem[] {
  return [
    ...findDuplicates(listNames(configuration, 'urgencyClasses')),
    // A task row holds the service or the kind in one field, so they share one set of names.
    ...findDuplicates([
      ...listNames(configuration, 'services'),
      ...listNames(configuration, 'batchKinds'),
    ]),
    ...findDuplicates(listNames(configuration, 'teams')),
    ...findDuplicates(listNames(configuration, 'operators')),
    ...findDuplicates(listTokens(configuration)),
    ...findDuplicates(listApprovals(configuration)),
    ...findUnknownUrgencies(configuration),
    ...findExcessiveShares(configuration),
    ...findGuardProblems(configuration),
  ];
}

type NamedList = 'urgencyClasses' | 'services' | 'batchKinds' | 'teams' | 'operators';

function listNames(configuration: OperatorConfiguration, list: NamedList): PlacedName[] {
  return configuration[list].map(({ name }, index) => ({ name, path: [list, index, 'name'] }));
}

/** One token must identify one team or one operator. */
function listTokens(configuration: OperatorConfiguration): PlacedName[] {
  return (['teams', 'operators'] as const).flatMap((list) =>
    configuration[list].flatMap(({ tokens }, index) =>
      tokens.map(({ sha256 }, tokenIndex) => ({
        name: sha256,
        path: [list, index, 'tokens', tokenIndex, 'sha256'],
      })),
    ),
  );
}

function listApprovals(configuration: OperatorConfiguration): PlacedName[] {
  return configuration.approvedProposals.map((name, index) => ({
    name,
    path: ['approvedProposals', index],
  }));
}

function findDuplicates(names: PlacedName[]): PositionedProblem[] {
  const first = new Map<string, DocumentPath>();
  const problems: PositionedProblem[] = [];
  for (const { name, path } of names) {
    const earlier = first.get(name);
    if (earlier === undefined) {
      first.set(name, path);
    } else {
      problems.push({ path, allowed: `a value that ${formatPath(earlier)} does not have already` });
    }
  }
  return problems;
}

function findUnknownUrgencies(configuration: OperatorConfiguration): PositionedProblem[] {
  const classes = configuration.urgencyClasses.map(({ name }) => name);
  const uses: PlacedName[] = [
    ...(['services', 'batchKinds'] as const).flatMap((list) =>
      configuration[list].map(({ urgency }, index) => ({
        name: urgency,
        path: [list, index, 'urgency'],
      })),
    ),
    ...configuration.teams.flatMap(({ urgencies }, index) =>
      urgencies.map((name, position) => ({ name, path: ['teams', index, 'urgencies', position] })),
    ),
  ];
  return uses
    .filter(({ name }) => !classes.includes(name))
    .map(({ path }) => ({ path, allowed: `an urgency class of this file: ${classes.join(', ')}` }));
}

function findExcessiveShares(configuration: OperatorConfiguration): PositionedProblem[] {
  const sum = configuration.urgencyClasses.reduce(
    (total, { guaranteedShare }) => total + guaranteedShare,
    0,
  );
  if (sum <= 1 + SHARE_TOLERANCE) {
    return [];
  }
  return [
    {
      path: ['urgencyClasses'],
      found: `guaranteed shares that add up to ${Number(sum.toFixed(6))}`,
      allowed: 'a sum of at most 1',
    },
  ];
}

function findGuardProblems(configuration: OperatorConfiguration): PositionedProblem[] {
  const { actAboveSlowdown, relaxBelowSlowdown } = configuration.guards;
  if (relaxBelowSlowdown <= actAboveSlowdown) {
    return [];
  }
  return [
    {
      path: ['guards', 'relaxBelowSlowdown'],
      allowed: `at most guards.actAboveSlowdown, which is ${actAboveSlowdown}`,
    },
  ];
}
