/**
 * One property of section 1.1 of the design and the run that shows it under failure.
 */
export interface Proof {
  /** Number of the invariant in the design. */
  number: number;
  property: string;
  /** Throws when the property does not hold. */
  run(): Promise<void>;
}
