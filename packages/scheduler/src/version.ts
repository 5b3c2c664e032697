/** The product's version, kept here so that the bundle need not include `package.json`. */

/** The version, equal to that in `package.json`. */
export const VERSION = '0.1.0';
