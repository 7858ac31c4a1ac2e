/**
 * What every implementation of `ObjectStore` has to do, as tests.
 */
import assert from 'node:assert/strict';
import { after, before, beforeEach, describe, test } from 'node:test';
import { ErrorCode, errorCodeOf } from '@figjunction/errors';
import type { ObjectStore } from '@figjunction/store';
import type { FakePlatform } from '../platform/fake-platform.js';
import { createPlatformFaults } from '../platform/platform-faults.js';

export interface ObjectStoreFixture {
  objects: ObjectStore;
  platform: FakePlatform;
  close(): Promise<void>;
}

const LARGE_OBJECT_BYTES = 1024 * 1024;

const FAULT_CASES = [
  { name: 'an outage', faults: { outage: true }, code: ErrorCode.Unavailable, isStored: false },
  {
    name: 'a lost answer',
    faults: { loseAnswers: 1 },
    code: ErrorCode.OutcomeUnknown,
    isStored: true,
  },
];

export function testObjectStoreContract(
  name: string,
  createFixture: () => Promise<ObjectStoreFixture>,
): void {
  describe(`object store contract: ${name}`, () => {
    let fixture: ObjectStoreFixture;
    let objects: ObjectStore;

    before(async () => {
      fixture = await createFixture();
      ({ objects } = fixture);
    });

    beforeEach(() => {
      Object.assign(fixture.platform.faults, createPlatformFaults());
    });

    after(() => fixture.close());

    test('a body comes back byte for byte, also under a key with slashes', async () => {
      const body = Buffer.alloc(LARGE_OBJECT_BYTES, 'ab\0');
      await objects.put('checkpoints/job 1/ü', body);
      assert.deepEqual(await objects.get('checkpoints/job 1/ü'), body);
    });

    test('a key that does not exist gives null', async () => {
      assert.equal(await objects.get('no/such/key'), null);
    });

    test('a second put replaces the body', async () => {
      await objects.put('twice', Buffer.from('1'));
      await objects.put('twice', Buffer.from('2'));
      assert.equal((await objects.get('twice'))?.toString(), '2');
    });

    test('a removed object is gone, and removing it again is no error', async () => {
      await objects.put('gone', Buffer.from('1'));
      await objects.remove('gone');
      await objects.remove('gone');
      assert.equal(await objects.get('gone'), null);
    });

    FAULT_CASES.forEach(({ name: fault, faults, code, isStored }) => {
      test(`${fault} of a put is reported as what it is`, async () => {
        const key = `fault/${fault}`;
        Object.assign(fixture.platform.faults, faults);
        await assert.rejects(
          objects.put(key, Buffer.from('1')),
          (error) => errorCodeOf(error) === code,
        );
        Object.assign(fixture.platform.faults, createPlatformFaults());
        assert.equal((await objects.get(key)) !== null, isStored);
      });
    });
  });
}
