/**
 * Randomness that is passed in, so that a run with the same seed makes the same choices.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

export class RandomSource {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A number from 0 up to but not including 1. */
  fraction(): number {
    return uniformFloat64(this.generator);
  }

  /** A whole number from 0 up to but not including `limit`. */
  below(limit: number): number {
    return uniformInt(this.generator, 0, limit - 1);
  }

  /** A duration spread evenly between half and one and a half times the given one. */
  jitter(milliseconds: number): number {
    return milliseconds * (0.5 + this.fraction());
  }
}
