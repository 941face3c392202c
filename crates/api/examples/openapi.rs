//! Prints the `OpenAPI` document.

fn main() {
    println!("{:#}", lynxwheel_api::openapi());
}
