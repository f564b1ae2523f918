/** Validator generated from schema/peers.yaml.
 * @module */

// @ts-nocheck: generated code
"use strict";
export const validate = validate20;
export default validate20;
const schema31 = {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"Batch","description":"Messages from one host to another, in order. Who sent them and to whom\nfollows from the connection.\n","type":"array","maxItems":4096,"items":{"$ref":"#/$defs/Parcel"},"$defs":{"Parcel":{"title":"Parcel","type":"object","required":["channel","body"],"properties":{"channel":{"description":"A channel that a host does not know, as of a later release, costs\nits own message only.\n","type":"string","maxLength":64},"body":{"description":"Message of the channel, checked against its own schema.","type":"object"}}}}};
const schema32 = {"title":"Parcel","type":"object","required":["channel","body"],"properties":{"channel":{"description":"A channel that a host does not know, as of a later release, costs\nits own message only.\n","type":"string","maxLength":64},"body":{"description":"Message of the channel, checked against its own schema.","type":"object"}}};

function validate20(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate20.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(Array.isArray(data)){
if(data.length > 4096){
validate20.errors = [{instancePath,schemaPath:"#/maxItems",keyword:"maxItems",params:{limit: 4096},message:"must NOT have more than 4096 items",schema:4096,parentSchema:schema31,data}];
return false;
}
else {
var valid0 = true;
const len0 = data.length;
for(let i0=0; i0<len0; i0++){
let data0 = data[i0];
const _errs1 = errors;
const _errs2 = errors;
if(errors === _errs2){
if(data0 && typeof data0 == "object" && !Array.isArray(data0)){
let missing0;
if(((data0.channel === undefined) && (missing0 = "channel")) || ((data0.body === undefined) && (missing0 = "body"))){
validate20.errors = [{instancePath:instancePath+"/" + i0,schemaPath:"#/$defs/Parcel/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema32.required,parentSchema:schema32,data:data0}];
return false;
}
else {
if(data0.channel !== undefined){
let data1 = data0.channel;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 64){
validate20.errors = [{instancePath:instancePath+"/" + i0+"/channel",schemaPath:"#/$defs/Parcel/properties/channel/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema32.properties.channel,data:data1}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/" + i0+"/channel",schemaPath:"#/$defs/Parcel/properties/channel/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.properties.channel.type,parentSchema:schema32.properties.channel,data:data1}];
return false;
}
}
var valid2 = _errs4 === errors;
}
else {
var valid2 = true;
}
if(valid2){
if(data0.body !== undefined){
let data2 = data0.body;
const _errs6 = errors;
if(!(data2 && typeof data2 == "object" && !Array.isArray(data2))){
validate20.errors = [{instancePath:instancePath+"/" + i0+"/body",schemaPath:"#/$defs/Parcel/properties/body/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema32.properties.body.type,parentSchema:schema32.properties.body,data:data2}];
return false;
}
var valid2 = _errs6 === errors;
}
else {
var valid2 = true;
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/" + i0,schemaPath:"#/$defs/Parcel/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema32.type,parentSchema:schema32,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
if(!valid0){
break;
}
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema31.type,parentSchema:schema31,data}];
return false;
}
}
validate20.errors = vErrors;
return errors === 0;
}
validate20.evaluated = {"items":true,"dynamicProps":false,"dynamicItems":false};

