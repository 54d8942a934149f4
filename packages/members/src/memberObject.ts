/** The value of a `member` object, which other writers may have stored. */
import {isInheritedProperty} from '@skylarkfield/base';

/** Kind of the members' objects, each named after its member. */
export const MEMBER_KIND = 'member';

/** Value of a `member` object. */
export interface MemberObject {
  readonly incarnation: number;
  readonly callerUrl: string;
  readonly innerUrl: string;
  readonly failureDomain: string;
  readonly region: string;
}

const URL_FIELDS = ['callerUrl', 'innerUrl'] as const;
const NAME_FIELDS = ['failureDomain', 'region'] as const;

/** Maximum length of a text field; bounds the memory used for each member. */
export const MAX_TEXT_LENGTH = 512;

/**
 * Returns the value of a `member` object; undefined if no entry has written it.
 *
 * @example
 * const memberObject = parseMemberObject(storedObject.value);
 */
export function parseMemberObject(value: unknown): MemberObject | undefined {
  const fields = (value ?? {}) as Partial<Record<keyof MemberObject, unknown>>;
  const isValid =
    Number.isSafeInteger(fields.incarnation) &&
    URL_FIELDS.every(field => isUrl(fields[field])) &&
    NAME_FIELDS.every(field => isName(fields[field]));
  return isValid ? (value as MemberObject) : undefined;
}

/**
 * Returns whether a value is a URL, so that its host can be read.
 *
 * @example
 * isUrl('ws://10.0.0.4:99999'); // false
 */
export function isUrl(value: unknown): boolean {
  return isBoundedText(value) && URL.canParse(value);
}

/**
 * Returns whether a value can name a member or a failure domain.
 *
 * @example
 * isName('constructor'); // false
 */
export function isName(value: unknown): boolean {
  return isBoundedText(value) && !isInheritedProperty(value);
}

/**
 * Returns whether a value is a text of at most `MAX_TEXT_LENGTH` characters.
 *
 * @example
 * isBoundedText('domain-1'); // true
 */
export function isBoundedText(value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_TEXT_LENGTH;
}
