/**
 * The figjunctiond binary.
 */
export {};
