/** Client of the platform's object API and instance list. */
@NullMarked
package io.hornbeamfield.net.platform;

import org.jspecify.annotations.NullMarked;
