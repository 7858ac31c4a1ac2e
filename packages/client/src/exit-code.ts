/**
 * Exit codes of the client. Scripts depend on them; a code never changes its meaning.
 */
export enum ExitCode {
  Success = 0,
  /** Something that has no code of its own. */
  Failed = 1,
  /** The command line is wrong, or an entry refused a value of it. */
  Usage = 2,
  /** The file is not valid; nothing was applied or submitted. */
  InvalidFile = 3,
  /** Another configuration was applied first, or a job id exists with other content. */
  Conflict = 4,
  /** Applied, but some process did not confirm in time. */
  NotConfirmed = 5,
  /** The token is missing, unknown or not allowed to do this. */
  NotAllowed = 6,
  NotFound = 7,
  /** No entry answered, or the table is unavailable; nothing was changed. */
  Unavailable = 8,
  /** The change may or may not have taken effect. */
  Unknown = 9,
  /** The operator said no when asked. */
  Declined = 10,
}

export const EXIT_CODE_HELP = [
  'Exit codes:',
  '   0  success',
  '   1  another failure',
  '   2  wrong command line or value',
  '   3  the file is not valid; nothing was applied or submitted',
  '   4  conflict: another revision was applied first, or a job id has other content',
  '   5  applied, but not confirmed everywhere in time',
  '   6  the token is missing, unknown or not allowed to do this',
  '   7  not found',
  '   8  no entry answered or the table is unavailable; nothing was changed',
  '   9  the change may or may not have taken effect',
  '  10  not confirmed by the operator',
].join('\n');
