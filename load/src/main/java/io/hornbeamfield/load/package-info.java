/** Load tool and policy bench. */
@NullMarked
package io.hornbeamfield.load;

import org.jspecify.annotations.NullMarked;
