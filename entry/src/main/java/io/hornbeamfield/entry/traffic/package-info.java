/** Request handling: admission, attempts at backend servers, and responses. All of it runs in one serial executor. */
@NullMarked
package io.hornbeamfield.entry.traffic;

import org.jspecify.annotations.NullMarked;
