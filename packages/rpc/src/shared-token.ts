/**
 * Bearer authentication between processes with a token that all of them share.
 */
import { createHash, timingSafeEqual } from 'node:crypto';

const BEARER_PREFIX = 'Bearer ';

/** Compares two strings in constant time, which prevents timing attacks on tokens. */
export function equalsInConstantTime(left: string, right: string): boolean {
  const leftHash = createHash('sha256').update(left).digest();
  const rightHash = createHash('sha256').update(right).digest();
  return timingSafeEqual(leftHash, rightHash);
}

export function bearerHeader(token: string): string {
  return `${BEARER_PREFIX}${token}`;
}

/** Returns the token from an `authorization` header, or null when it holds no bearer token. */
export function bearerToken(header: string | undefined): string | null {
  return header?.startsWith(BEARER_PREFIX) ? header.slice(BEARER_PREFIX.length) : null;
}
